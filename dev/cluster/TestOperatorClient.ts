import { randomUUID } from 'node:crypto'
import { sendRequest } from '../common/sendRequest.js'
import type { Deployment } from '../../src/model/Deployment.js'
import type { ExampleContract } from './ExampleContract.js'

/** Response of the operator interface. */
interface OperatorAnswer {
  readonly status: number
  readonly body: Record<string, unknown>
}

/** Calls the operator interface of one host, as an example operator. */
export class TestOperatorClient {
  /** `address` is `a.b.c.d:port`; `operator` is the name of an example operator. */
  constructor (private readonly address: string, private readonly operator = 'anna') {}

  async call (method: string, path: string, body?: unknown): Promise<OperatorAnswer> {
    const answer = await sendRequest(`http://${this.address}/admin/v1/${path}`, {
      method,
      headers: { authorization: `Bearer demo-operator-${this.operator}`, 'content-type': 'application/json' },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      timeoutMs: 15_000
    })
    return { status: answer.status, body: parseObject(answer.body.toString()) }
  }

  async putDeployment (deployment: Deployment, writeId: string = randomUUID()): Promise<OperatorAnswer> {
    return await this.call('PUT', 'deployment', { deployment, writeId })
  }

  async putContract (contract: ExampleContract, expectVersion: number, writeId: string = randomUUID()): Promise<OperatorAnswer> {
    return await this.call('PUT', `contracts/${contract.customer}`, { contract, expectVersion, writeId })
  }

  /** Changes fields of a contract, conditional on the version that was read. */
  async changeContract (customer: string, changes: Partial<ExampleContract>): Promise<OperatorAnswer> {
    const current = await this.call('GET', `contracts/${customer}`)
    if (current.status !== 200) return current
    const { version, ...contract } = (current.body.contract ?? current.body) as unknown as ExampleContract & { version: number }
    return await this.putContract({ ...contract, ...changes }, version)
  }

  async drain (kind: 'upstream' | 'zone' | 'host', name: string, writeId: string = randomUUID()): Promise<OperatorAnswer> {
    return await this.call('POST', 'drains', { kind, name, writeId })
  }

  async cancelDrain (kind: 'upstream' | 'zone' | 'host', name: string): Promise<OperatorAnswer> {
    return await this.call('DELETE', `drains/${kind}/${name}`)
  }
}

function parseObject (text: string): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>
  } catch {
    return { text }
  }
}
