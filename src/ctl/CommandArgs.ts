/** Arguments and options of a command, as parsed from the command line. */
export interface CommandArgs {
  /** Positional arguments; an omitted optional argument has no element. */
  readonly values: readonly string[]
  /** Options of the command and global options, by camelCase name. */
  readonly options: Readonly<Record<string, string | boolean | undefined>>
}
