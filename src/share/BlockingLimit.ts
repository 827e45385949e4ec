/** The limit that prevents the admission of a request. */
export type BlockingLimit = 'rate' | 'permit' | 'quarantine'
