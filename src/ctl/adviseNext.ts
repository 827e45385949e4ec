import type { ResultName } from '../common/ResultName.js'

const nextSteps = new Map<string, string>(Object.entries({
  badRequest: 'Check the names on the command line; use the version of shuntctl that the hosts run.',
  credentialThrottled: 'Wait for a minute, then use the right credential.',
  bodyTooLarge: 'Split the file into several smaller changes.',
  contractConflict: 'Read the current contract with "show", merge the other operator\'s change into the file, and apply it again.',
  writeUnknown: 'Query the outcome with "shuntctl write WRITE_ID" before you repeat the change.',
  platformUnavailable: 'Traffic is not affected. Repeat the command when the platform is available again, or use --hosts to name hosts that can reach it.',
  configRolledBack: 'Restore the newest head in the platform\'s table; until then all changes are refused (docs/store-outage.md).',
  capBelowUnreachable: 'Use the smallest cap that the message names, make the unreachable hosts reachable again, or make sure that they are stopped and use --force where the command has it.',
  invalidDocument: 'Correct the file; "shuntctl check FILE" lists all problems that it can detect offline.',
  unknownItem: 'Use the "list" or "show" command of the same kind to see the existing names.',
  lastUpstreams: 'Cancel another drain or add endpoints first; --force drains the item anyway.',
  noConfiguration: 'Load the first configuration with "shuntctl deployment apply FILE".',
  operatorDenied: 'Set SHUNT_CREDENTIAL, or use --credential-file to name the file with your credential.',
  notReady: 'Wait until the host has received the configuration, or use another host.',
  peerUnreachable: 'Check that shunt-entry runs on that host, or use another host with --hosts.',
  peerTimeout: 'Check that shunt-entry responds on that host, or use another host with --hosts.'
} satisfies Partial<Record<ResultName, string>>))

/** Returns the recommended next step after a refusal with this result. */
export function adviseNext (name: string): string {
  return nextSteps.get(name) ?? 'Look up the code in docs/codes.md, and check the logs of the host that responded.'
}
