/** Expected round trip in ms to an owner, by network distance. */
export const hopDelays = {
  sameHost: 0,
  sameZone: 1,
  sameRegion: 2,
  otherRegion: 70
} as const
