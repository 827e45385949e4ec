/** What stands on the command line behind a command's name. */
export interface CommandArgs {
  /** Arguments in order; a missing optional one is not there. */
  readonly values: readonly string[]
  /** Options of the command itself and those that every command takes, by camelCase name. */
  readonly options: Readonly<Record<string, string | boolean | undefined>>
}
