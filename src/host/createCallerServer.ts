import type { IncomingMessage } from 'node:http'
import type { Clock } from '../common/Clock.js'
import { formatException } from '../common/formatException.js'
import { InputEdge } from '../common/InputEdge.js'
import type { Logger } from '../common/Logger.js'
import { DrainableHttpServer } from '../entry/DrainableHttpServer.js'
import type { PipelinedResponse } from '../entry/PipelinedResponse.js'
import type { RejectedInput } from '../metrics/RejectedInput.js'
import { hostLimits } from './hostLimits.js'
import type { HostMetrics } from './HostMetrics.js'

/** Dependencies of the server. */
interface CallerServerOptions {
  readonly clock: Clock
  readonly rejected: RejectedInput
  readonly metrics: HostMetrics
  readonly logger: Logger
  readonly isLeaving: () => boolean
  readonly onRequest: (req: IncomingMessage, res: PipelinedResponse) => void
}

/** Creates the server for callers' requests, with limits that hold until a configuration has been received. */
export function createCallerServer ({ clock, rejected, metrics, logger, isLeaving, onRequest }: CallerServerOptions): DrainableHttpServer {
  return new DrainableHttpServer({
    clock,
    closesConnections: isLeaving,
    limits: {
      maxConnections: hostLimits.maxConnections,
      maxHeaderBytes: hostLimits.maxHeaderBytes,
      headersTimeoutMs: hostLimits.defaultIdleTimeoutMs,
      idleTimeoutMs: hostLimits.defaultIdleTimeoutMs
    },
    closesIdleSilently: true,
    onRequest,
    createRequestId: () => '',
    onRefused: (name) => {
      metrics.recordRefusal(name, '')
      rejected.record(InputEdge.caller, 'request-malformed', { code: name })
    },
    onException: (error) => logger.error('request-failed', { error: formatException(error) })
  })
}
