import type { Clock } from '../common/Clock.js'
import type { CustomerShare } from './CustomerShare.js'
import { Permit } from './Permit.js'
import type { PermitSource } from './PermitSource.js'

/** Dependencies of a permit. */
interface HeldPermitOptions {
  readonly share: CustomerShare
  readonly source: PermitSource
  readonly clock: Clock
  /** Called once, after the permit was released. */
  readonly onRelease: () => void
}

/** The permit that one admitted request holds at this host. */
export class HeldPermit extends Permit {
  private readonly regions: string[] = []
  private released = false

  constructor (private readonly options: HeldPermitOptions) {
    super()
  }

  override enterRegion (region: string): boolean {
    const { share, clock } = this.options
    if (this.released || !share.enterRegion(clock.nowMs(), region)) return false
    this.regions.push(region)
    return true
  }

  override leaveRegion (region: string): void {
    const index = this.regions.indexOf(region)
    if (index < 0) return
    this.regions.splice(index, 1)
    this.options.share.leaveRegion(region)
  }

  override reserveUploadBytes (bytes: number): number {
    const { share, clock } = this.options
    return share.reserveUpload(clock.nowMs(), bytes)
  }

  override release (): void {
    if (this.released) return
    this.released = true
    const { share, source, onRelease } = this.options
    for (const region of this.regions) share.leaveRegion(region)
    share.release(source)
    onRelease()
  }
}
