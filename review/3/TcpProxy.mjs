import { connect, createServer } from 'node:net'

/** Forwards TCP connections to a target. */
export class TcpProxy {
  constructor (target) {
    this.target = target
    this.pairs = new Set()
    this.server = createServer((socket) => this.accept(socket))
  }

  async listen (host, port) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  close () {
    this.server.close()
    for (const { inbound, outbound } of this.pairs) {
      inbound.destroy()
      outbound.destroy()
    }
  }

  /** Makes all open connections silent for good, without a reset; connections that are opened later work. Returns their number. */
  silenceOpenConnections () {
    let count = 0
    for (const pair of this.pairs) {
      if (pair.isSilent) continue
      pair.isSilent = true
      count += 1
    }
    return count
  }

  accept (inbound) {
    const [host, port] = this.target.split(':')
    const outbound = connect({ host, port: Number(port), noDelay: true })
    inbound.setNoDelay(true)
    const pair = { inbound, outbound, isSilent: false }
    this.pairs.add(pair)
    this.forward(inbound, outbound, pair)
    this.forward(outbound, inbound, pair)
  }

  forward (source, target, pair) {
    source.on('data', (chunk) => { if (!pair.isSilent) target.write(chunk) })
    source.on('end', () => { if (!pair.isSilent) target.end() })
    source.on('error', () => { if (!pair.isSilent) target.destroy() })
    source.on('close', () => {
      if (pair.isSilent) return
      target.destroy()
      this.pairs.delete(pair)
    })
  }
}
