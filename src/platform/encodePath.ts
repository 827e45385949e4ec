/** Encodes a name for a URL path; slashes stay, since row and object names are paths. */
export function encodePath (name: string): string {
  return name.split('/').map(encodeURIComponent).join('/')
}
