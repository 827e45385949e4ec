import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import type { DialMap } from '../common/DialMap.js'
import type { Failure } from '../common/Failure.js'
import { PeerMessenger } from '../common/PeerMessenger.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import { FrameClient } from '../wire/FrameClient.js'
import type { Message } from '../wire/Message.js'
import type { PeerIdentity } from '../wire/PeerIdentity.js'

/** Dependencies of the links. */
interface PeerLinksOptions {
  readonly self: PeerIdentity
  readonly clusterKey: string
  readonly dial: DialMap
  readonly clock: Clock
}

/** Maintains frame connections to the entry processes of the configured hosts. */
export class PeerLinks extends PeerMessenger {
  private readonly client: FrameClient
  private addresses: ReadonlyMap<string, string> = new Map()

  constructor (options: PeerLinksOptions) {
    super()
    this.client = new FrameClient({ ...options, onMessage: () => undefined })
  }

  setConfig (doc: ConfigDoc): void {
    this.addresses = new Map(doc.hosts.map((host) => [host.name, `${host.address}:${host.ports.peer}`]))
    this.client.retain(new Set(this.addresses.values()))
  }

  override async request (host: string, message: Message, timeoutMs: number): Promise<Result<Message, Failure>> {
    const address = this.addresses.get(host)
    if (address === undefined) return err(createFailure('peerUnreachable', { message: `host "${host}" is not configured` }))
    return await this.client.request(address, message, timeoutMs)
  }

  override notify (host: string, message: Message): boolean {
    const address = this.addresses.get(host)
    return address !== undefined && this.client.notify(address, message)
  }

  close (): void {
    this.client.close()
  }
}
