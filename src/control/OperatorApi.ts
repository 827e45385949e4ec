import { randomBytes } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { ZodType } from 'zod'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { ConfigProblem } from '../config/ConfigProblem.js'
import { fieldSchemas } from '../config/fieldSchemas.js'
import { formatProblem } from '../config/formatProblem.js'
import { validateContract } from '../config/validateContract.js'
import { validateDeployment } from '../config/validateDeployment.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import { DrainKind } from '../model/DrainKind.js'
import type { AgentState } from './AgentState.js'
import type { ConfigChange } from './ConfigChange.js'
import { describeConfig } from './describeConfig.js'
import { describeDrains } from './describeDrains.js'
import { describeLimits } from './describeLimits.js'
import { describeStatus } from './describeStatus.js'
import type { OperatorRequest } from './OperatorRequest.js'

type ApiResult = Result<unknown, Failure>

const versionSchema = z.coerce.number().int().nonnegative()
const writeIdSchema = z.string().regex(/^[A-Za-z0-9._-]{1,64}$/, 'must have 1 to 64 letters, digits, ".", "_" or "-"')
const flagSchema = z.union([z.boolean(), z.enum(['1', 'true']).transform(() => true), z.enum(['0', 'false']).transform(() => false)])
const drainKindSchema = z.enum(DrainKind)
const writeFields = { writeId: writeIdSchema.optional(), dryRun: flagSchema.default(false), force: flagSchema.default(false) }
const deploymentBody = z.object({ ...writeFields, deployment: z.unknown(), expectVersion: versionSchema.optional() }).strict()
const putContractBody = z.object({ ...writeFields, contract: z.unknown(), expectVersion: versionSchema }).strict()
const deleteContractBody = z.object({ ...writeFields, expectVersion: versionSchema }).strict()
const addDrainBody = z.object({ ...writeFields, kind: drainKindSchema, name: fieldSchemas.name }).strict()
const removeDrainBody = z.object(writeFields).strict()
const explainBody = z.object({
  customer: fieldSchemas.name,
  service: fieldSchemas.name,
  method: z.string().max(16).default('GET'),
  path: z.string().max(2_048).default('/')
}).strict()

const generatedIdBytes = 8
const maxProblems = 20

/** Handles the routes under `/admin/v1/`. */
export class OperatorApi {
  constructor (private readonly state: AgentState) {}

  async handle (request: OperatorRequest): Promise<ApiResult> {
    const [resource, ...names] = request.segments
    const route = `${request.method} ${resource ?? ''}${'/*'.repeat(names.length)}`
    const handler = this.routes[route]
    if (handler !== undefined) return await handler(request, names)
    return err(createFailure('unknownItem', { message: `There is no ${request.method} /admin/v1/${request.segments.join('/')}.` }))
  }

  private readonly routes: Readonly<Record<string, (request: OperatorRequest, names: readonly string[]) => Promise<ApiResult> | ApiResult>> = {
    'GET status': async ({ query }) => await describeStatus(this.state, query.get('compare') === '1'),
    'GET config': () => describeConfig(this.state),
    'GET contracts': () => this.withDoc(({ version, contracts }) => ok({ version, contracts })),
    'GET contracts/*': (_, [name = '']) => this.withDoc((doc) => findContract(doc, name).map((contract) => ({ contract }))),
    'GET deployment': () => this.withDoc(({ contracts, drains, priorCaps, version, ...deployment }) => ok({ version, deployment })),
    'GET drains': () => this.withDoc((doc) => ok(describeDrains(doc, this.state))),
    'GET limits/*': (_, [name = '']) => this.withDoc((doc) => findContract(doc, name).map((contract) => describeLimits(contract, this.state))),
    'GET writes/*': async (_, [writeId = '']) => await this.state.writer.findOutcome(writeId).then((result) => result.map((outcome) => ({ writeId, ...outcome }))),
    'PUT deployment': async (request) => await this.write(request, deploymentBody, ({ deployment, expectVersion, force }) =>
      validateDeployment(deployment).mapErr(describeProblems).map((valid) => ({ kind: 'deployment', deployment: valid, expectVersion, force }))),
    'PUT contracts/*': async (request, [customer]) => await this.write(request, putContractBody, ({ contract, expectVersion }) =>
      validateContract(contract).mapErr(describeProblems).andThen((valid) => valid.customer === customer
        ? ok({ kind: 'putContract' as const, contract: valid, expectVersion })
        : err(createFailure('badRequest', { message: `The path names "${customer}" and the contract "${valid.customer}".` })))),
    'DELETE contracts/*': async (request, [customer = '']) => await this.write(request, deleteContractBody, ({ expectVersion }) =>
      ok({ kind: 'deleteContract', customer, expectVersion })),
    'POST drains': async (request) => await this.write(request, addDrainBody, ({ kind, name, force }) =>
      ok({ kind: 'addDrain', drain: kind, name, force })),
    'DELETE drains/*/*': async (request, [kind, name = '']) => await this.write(request, removeDrainBody, () => {
      const parsed = drainKindSchema.safeParse(kind)
      if (parsed.success) return ok({ kind: 'removeDrain', drain: parsed.data, name })
      return err(createFailure('badRequest', { message: `"${kind}" is not a kind of drain; use upstream, zone or host.` }))
    }),
    'POST explain': async ({ body }) => await this.explain(body)
  }

  private withDoc (build: (doc: ConfigDoc) => ApiResult): ApiResult {
    const { held } = this.state.holder
    return held === undefined ? err(createFailure('noConfiguration', { message: 'No configuration has been loaded yet; apply a deployment first.' })) : build(held.doc)
  }

  /** Validates a change and writes or previews it; its options are in the body or, for requests without a body, in the query. */
  private async write<Body extends WriteBody> (request: OperatorRequest, schema: ZodType<Body>, build: (body: Body) => Result<ConfigChange, Failure>): Promise<ApiResult> {
    const parsed = parse(schema, { ...Object.fromEntries(request.query), ...request.body as object })
    if (parsed.isErr()) return err(parsed.error)
    const change = build(parsed.value)
    if (change.isErr()) return err(change.error)
    const { writeId = `auto-${randomBytes(generatedIdBytes).toString('hex')}`, dryRun } = parsed.value
    const write = { writeId, by: request.operator, change: change.value }
    if (!dryRun) return await this.state.writer.write(write)
    const preview = await this.state.writer.preview(write)
    return preview.map(({ doc, change: summary }) => ({ dryRun: true, version: doc.version, change: summary }))
  }

  private async explain (body: unknown): Promise<ApiResult> {
    const parsed = parse(explainBody, body)
    if (parsed.isErr()) return err(parsed.error)
    const reply = await this.state.requestFromEntry({ t: 'explain', ...parsed.value })
    return reply.map(({ steps }) => ({ host: this.state.host, steps }))
  }
}

/** Options of every change. */
interface WriteBody {
  readonly writeId?: string | undefined
  readonly dryRun: boolean
  readonly force: boolean
}

function parse<T> (schema: ZodType<T>, value: unknown): Result<T, Failure> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return ok(parsed.data)
  const [issue] = parsed.error.issues
  const location = issue === undefined || issue.path.length === 0 ? 'the body' : `"${issue.path.join('.')}"`
  return err(createFailure('invalidDocument', { message: `The document is not valid at ${location}: ${issue?.message ?? 'unknown problem'}.` }))
}

/** Reports several problems together, so that an operator can correct them in one go. */
function describeProblems (problems: readonly ConfigProblem[]): Failure {
  return createFailure('invalidDocument', { message: `The document is not valid: ${problems.slice(0, maxProblems).map(formatProblem).join('; ')}.` })
}

function findContract (doc: ConfigDoc, customer: string): Result<ConfigDoc['contracts'][number], Failure> {
  const contract = doc.contracts.find((candidate) => candidate.customer === customer)
  return contract === undefined ? err(createFailure('unknownItem', { message: `There is no contract "${customer}"; see GET /admin/v1/contracts.` })) : ok(contract)
}
