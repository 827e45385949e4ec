import type { z } from 'zod'
import type { loanMessages } from './loanMessages.js'
import { shareLimits } from './shareLimits.js'

type Announcement = z.infer<typeof loanMessages.announcement>

/**
 * Tracks what a started process must assume of the loans of its predecessor. Until the ends of the quarantines, loans of the
 * predecessor may be in use elsewhere; until the recovery ends, long permits that other hosts hold may be unknown here.
 */
export class StartupRecovery {
  rateQuarantineEndsAtMs: number
  /** End of the quarantine of permits, which outlasts that of the rate. */
  permitQuarantineEndsAtMs: number
  /** True until every other host has announced the long permits that it holds, or none can be in use any more. */
  isRecovering = true
  /** Hosts whose complete announcement was received. */
  private readonly announcedHosts = new Set<string>()
  /** Hosts that announced that they hold no loans from an earlier process of this host. */
  private readonly hostsHoldingNothing = new Set<string>()

  constructor (startedMs: number) {
    this.rateQuarantineEndsAtMs = startedMs + shareLimits.rateQuarantineMs
    this.permitQuarantineEndsAtMs = startedMs + shareLimits.permitQuarantineMs
  }

  /** Returns true when the loans that a host announces are to be restored. */
  needsAnnouncementOf (host: string): boolean {
    return this.isRecovering && !this.announcedHosts.has(host)
  }

  /** Records the last frame of a host's announcement; earlier frames change nothing. */
  recordAnnouncement (host: string, { complete, holdsNothing }: Announcement): void {
    if (!complete) return
    this.announcedHosts.add(host)
    if (holdsNothing) this.hostsHoldingNothing.add(host)
  }

  haveAllAnnounced (peers: readonly string[]): boolean {
    return peers.every((host) => this.announcedHosts.has(host))
  }

  /** Returns true when no loan of an earlier process is in use anywhere. */
  doAllHoldNothing (peers: readonly string[]): boolean {
    return peers.every((host) => this.hostsHoldingNothing.has(host))
  }

  endQuarantine (nowMs: number): void {
    this.rateQuarantineEndsAtMs = Math.min(this.rateQuarantineEndsAtMs, nowMs)
    this.permitQuarantineEndsAtMs = Math.min(this.permitQuarantineEndsAtMs, nowMs)
  }
}
