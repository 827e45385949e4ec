/** What keeps a request from being admitted. */
export type Blocker = 'rate' | 'permit' | 'quarantine'
