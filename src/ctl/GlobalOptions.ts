/** Options of every command, as parsed by commander. */
export interface GlobalOptions {
  readonly hosts?: string
  readonly credentialFile?: string
  readonly tls?: boolean
  readonly caFile?: string
  readonly timeout?: string
  readonly json?: boolean
  readonly wait?: boolean
  readonly dryRun?: boolean
  readonly force?: boolean
}
