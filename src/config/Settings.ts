import type { HostPorts } from '../model/HostPorts.js'

/** Settings of one host, shared by its three daemons; read from a JSON file with comments. */
export interface Settings {
  /** Name of the host in the configuration. */
  readonly host: string
  readonly zone: string
  /** IP address that the daemons listen on. */
  readonly address: string
  readonly ports: HostPorts
  /** Secret that all processes of the system share; at least 32 characters. */
  readonly clusterKey: string
  /** Operators who may use the operators' interface; only hashes of their credentials are stored. */
  readonly operators: readonly {
    readonly name: string
    /** SHA-256 of the credential, in hex. */
    readonly credentialHash: string
  }[]
  readonly platform: {
    /** Base URL of the platform's service. */
    readonly url: string
    /** Timeout in ms of a call. */
    readonly timeoutMs: number
  }
  /** Agent addresses (`a.b.c.d:port`) to contact before a configuration is available. */
  readonly seeds: readonly string[]
  /** Translation of outgoing addresses, `a.b.c.d:port` to `a.b.c.d:port`. */
  readonly dial: Readonly<Record<string, string>>
  /** Log levels by module; `default` applies to all other modules. */
  readonly log: Readonly<Record<string, 'error' | 'warn' | 'info' | 'debug'>>
  /** File that maps blocks of client addresses to regions, for lookups. */
  readonly blocksFile?: string | undefined
  /** TLS on the callers' and operators' ports; the files are read again when they change. */
  readonly tls?: {
    readonly certFile: string
    readonly keyFile: string
  } | undefined
  /** Longest time in ms that a planned stop waits for requests in flight. */
  readonly stopTimeoutMs: number
  /** Limits of callers' connections. */
  readonly limits: {
    readonly maxConnections: number
    readonly maxHeaderBytes: number
    /** Time in ms for the headers of a request to arrive. */
    readonly headersTimeoutMs: number
    /** Time in ms that an idle connection is kept. */
    readonly idleTimeoutMs: number
  }
}
