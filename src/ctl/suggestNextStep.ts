import type { ResultName } from '../common/ResultName.js'

const nextSteps = new Map<string, string>(Object.entries({
  badRequest: 'Check the names on the command line; use the same version of shuntctl as of the hosts.',
  credentialThrottled: 'Wait for a minute and use the right credential.',
  bodyTooLarge: 'Split the file into several smaller changes.',
  contractConflict: 'Look at the present state with "show", include the other operator\'s change in the file, and apply it again.',
  writeUnknown: 'Ask for the outcome with "shuntctl write WRITE_ID"; don\'t repeat the change before.',
  platformUnavailable: 'Traffic is not affected. Repeat the command when the platform is back, or name hosts that can reach it with --hosts.',
  configRolledBack: 'Restore the newest head in the platform\'s table; until then all changes are refused (docs/store-outage.md).',
  capBelowUnreachable: 'Use the smallest cap that the message names, bring the hosts back, or stop them for certain and use --force where the command has it.',
  invalidDocument: 'Correct the file; "shuntctl check FILE" lists all problems that can be found offline.',
  unknownItem: 'List the existing names with the "list" or "show" command of the same kind.',
  lastUpstreams: 'Cancel another drain or add endpoints first; --force drains nevertheless.',
  noConfiguration: 'Load the first configuration with "shuntctl deployment apply FILE".',
  operatorDenied: 'Set SHUNT_CREDENTIAL, or name the file with your credential by --credential-file.',
  notReady: 'Wait until the host has received the configuration, or use another host.',
  peerUnreachable: 'Check that shunt-entry runs on that host, or ask another host with --hosts.',
  peerTimeout: 'Check that shunt-entry answers on that host, or ask another host with --hosts.'
} satisfies Partial<Record<ResultName, string>>))

/** Says what an operator can do after a refusal with this result. */
export function suggestNextStep (name: string): string {
  return nextSteps.get(name) ?? 'Look the code up in docs/codes.md and in the logs of the host that answered.'
}
