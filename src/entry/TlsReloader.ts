import { readFileSync, statSync } from 'node:fs'
import { createSecureContext } from 'node:tls'
import type { Logger } from '../common/Logger.js'

/** Paths of a certificate and its key. */
interface TlsFiles {
  readonly certFile: string
  readonly keyFile: string
}

/** A certificate and its key in PEM format. */
interface TlsMaterial {
  readonly cert: string
  readonly key: string
}

const checkIntervalMs = 1_000

/** Loads a certificate and reloads it when its files change; open connections are not affected. */
export class TlsReloader {
  private stamp: string
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly files: TlsFiles, private readonly logger: Logger) {
    this.stamp = this.readStamp()
  }

  /** @throws {Error} if a file cannot be read or the key does not match the certificate */
  load (): TlsMaterial {
    const material = { cert: readFileSync(this.files.certFile, 'utf8'), key: readFileSync(this.files.keyFile, 'utf8') }
    createSecureContext(material)
    return material
  }

  start (onChange: (material: TlsMaterial) => void): void {
    this.timer ??= setInterval(() => this.check(onChange), checkIntervalMs)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  // While the files are being replaced, the key may not match the certificate; the check is repeated after the interval.
  private check (onChange: (material: TlsMaterial) => void): void {
    try {
      const stamp = this.readStamp()
      if (stamp === this.stamp) return
      const material = this.load()
      this.stamp = stamp
      onChange(material)
      this.logger.info('certificate-reloaded', { file: this.files.certFile })
    } catch (error) {
      this.logger.warn('certificate-unusable', { file: this.files.certFile, error: error instanceof Error ? error.message : String(error) })
    }
  }

  private readStamp (): string {
    return [this.files.certFile, this.files.keyFile].map((file) => {
      const { mtimeMs, size, ino } = statSync(file)
      return `${mtimeMs}.${size}.${ino}`
    }).join(' ')
  }
}
