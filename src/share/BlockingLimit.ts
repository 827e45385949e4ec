/** What keeps a request from being admitted. */
export type BlockingLimit = 'rate' | 'permit' | 'quarantine'
