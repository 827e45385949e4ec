import type { View } from '../model/View.js'
import { DenialPolicy } from './DenialPolicy.js'
import type { ResultName } from './ResultName.js'

/** Denies requests while no agent, as far as the view of this host's agent tells, holds a newer configuration. */
export class VersionDenialPolicy extends DenialPolicy {
  protected override readonly denials: ReadonlySet<ResultName> = new Set(['unknownService', 'serviceNotInContract', 'wrongCredential', 'bodyTooLarge'])
  private version = 0
  private newestVersion = 0

  /** Takes over the version of the configuration in force. */
  setVersion (version: number): void {
    this.version = version
  }

  setView ({ configVersion, members }: View): void {
    this.newestVersion = Math.max(configVersion, ...members.map((member) => member.configVersion))
  }

  protected override isConfigComplete (): boolean {
    return this.version >= this.newestVersion
  }
}
