import { createServer } from 'node:http'

/** Interval in ms at which a waiting feed call looks for changes. */
const pollMs = 5

/** Stand-in for the platform's metadata store: rows, feeds of changes and transactions, as PROTOCOL.md has them. */
export class Store {
  rows = new Map()
  history = []
  historyFrom = 0
  version = 0
  era = 1
  /** While set, called for each call; a result of true means that the call has been dealt with. */
  intercept = () => false
  #sockets = new Set()
  #server = createServer((req, res) => this.#serve(req, res).catch(() => res.destroy()))

  async listen (host) {
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
    await new Promise((resolve) => this.#server.listen(0, host, resolve))
    this.address = `${host}:${this.#server.address().port}`
    return this.address
  }

  close () {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  put (table, key, value) {
    return this.apply([{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  remove (table, key) {
    return this.apply([], [{ table, part: '', key }])
  }

  apply (puts, removed) {
    this.version += 1
    for (const row of puts) this.#write({ ...row, part: row.part ?? '', ver: this.version })
    for (const row of removed) this.#write({ ...row, part: row.part ?? '', ver: this.version, tombstone: true })
    return this.version
  }

  #write (row) {
    const id = `${row.table}\n${row.part}\n${row.key}`
    if (row.tombstone) this.rows.delete(id)
    else this.rows.set(id, row)
    this.history.push(row)
  }

  async #serve (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    if (this.intercept(req, res)) return
    const url = new URL(req.url, 'http://store')
    const query = url.searchParams
    if (url.pathname === '/v1/rows-get') return this.#get(query, res)
    if (url.pathname === '/v1/rows-feed') return await this.#feed(query, res)
    if (url.pathname === '/v1/rows-tx') return this.#transact(JSON.parse(Buffer.concat(chunks).toString('utf8')), res)
    this.#send(res, 404, {})
  }

  #get (query, res) {
    const [table, part, from, to] = ['table', 'part', 'from', 'to'].map((name) => query.get(name))
    const limit = Math.min(500, Number(query.get('limit') ?? 500))
    const found = [...this.rows.values()]
      .filter((row) => row.table === table && row.part === (part ?? '') && (from === null || row.key >= from) && (to === null || row.key < to))
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
    this.#send(res, 200, { rows: found.slice(0, limit), has_more: found.length > limit })
  }

  async #feed (query, res) {
    const after = Number(query.get('after'))
    const table = query.get('table')
    const endMs = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0))
    for (;;) {
      if (after < this.historyFrom || after > this.version) return this.#send(res, 410, {})
      const changed = this.history.filter((row) => row.table === table && row.ver > after)
      if (changed.length > 0 || performance.now() >= endMs || res.destroyed) return this.#send(res, 200, { rows: changed })
      await new Promise((resolve) => setTimeout(resolve, pollMs))
    }
  }

  #transact ({ precondition = [], puts = [], remove = [] }, res) {
    const current = precondition.map((row) => [row.ver, this.rows.get(`${row.table}\n${row.part ?? ''}\n${row.key}`)])
    if (current.some(([ver, row]) => (row?.ver ?? 0) !== ver)) return this.#send(res, 412, { rows: current.flatMap(([, row]) => row ?? []) })
    this.apply(puts, remove)
    this.#send(res, 200, {})
  }

  #send (res, status, body) {
    if (res.destroyed) return
    const text = JSON.stringify({ ...body, ver: this.version, now_s: Math.round(performance.now()) / 1_000 })
    res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), 'Store-Era': this.era }).end(text)
  }
}
