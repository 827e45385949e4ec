import { readFileSync } from 'node:fs'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { SystemClock } from '../common/SystemClock.js'
import type { CommandFailure } from './CommandFailure.js'
import type { CommandContext } from './CommandContext.js'
import type { GlobalOptions } from './GlobalOptions.js'
import { OperatorClient } from './OperatorClient.js'
import { parseHosts } from './parseHosts.js'
import { readCredential } from './readCredential.js'

/** Allows for two hosts, each of which needs up to 5 s to determine the outcome of a write. */
const defaultTimeoutMs = 15_000

/** Creates a command's context from its options and the environment. */
export function createContext (options: GlobalOptions, environment: NodeJS.ProcessEnv, printNotice: (text: string) => void): Result<CommandContext, CommandFailure> {
  const timeoutMs = parseTimeout(options.timeout)
  if (timeoutMs.isErr()) return err(timeoutMs.error)
  const hosts = parseHosts(options.hosts ?? environment.SHUNT_HOSTS ?? '')
  if (hosts.isErr()) return err(createUsageFailure(`The list of hosts is invalid: ${hosts.error}.`, 'Name hosts with --hosts a.b.c.d:port,... or in SHUNT_HOSTS.'))
  const tls = readTls(options)
  if (tls.isErr()) return err(tls.error)
  const clock = new SystemClock()
  return readCredential(options.credentialFile, environment).map((credential) => ({
    client: new OperatorClient({ hosts: hosts.value, credential, tls: tls.value, timeoutMs: timeoutMs.value ?? defaultTimeoutMs, clock, onNotice: printNotice }),
    clock,
    dryRun: options.dryRun ?? false,
    force: options.force ?? false,
    wait: options.wait ?? false,
    timeoutMs: timeoutMs.value,
    printNotice
  }))
}

function parseTimeout (text: string | undefined): Result<number | undefined, CommandFailure> {
  if (text === undefined) return ok(undefined)
  const seconds = Number(text)
  if (!(seconds > 0 && seconds <= 86_400)) return err(createUsageFailure(`--timeout "${text}" is not a valid number of seconds.`, 'Use a number from 0.1 to 86400.'))
  return ok(seconds * 1_000)
}

function readTls ({ tls, caFile }: GlobalOptions): Result<string | true | undefined, CommandFailure> {
  if (caFile === undefined) return ok(tls === true ? true : undefined)
  try {
    return ok(readFileSync(caFile, 'utf8'))
  } catch (cause) {
    return err(createUsageFailure(`The file ${caFile} cannot be read (${(cause as NodeJS.ErrnoException).code}).`, 'Name the PEM file of the certificate authority with --ca-file.'))
  }
}

function createUsageFailure (message: string, next: string): CommandFailure {
  return { exit: 'usage', message, next }
}
