/** `kelpstep requests`: summarizes the requests in a log file. */
import {
  REQUEST_FIELDS,
  type RequestField,
  findRequestLines,
  groupRequests,
  summarizeRequests,
} from '@kelpstep/observability';
import {readFileSync} from 'node:fs';
import type {Argv} from 'yargs';

import type {CommandContext} from '../command';
import {EXIT_CODES} from '../exit_code';

interface SummaryOptions {
  readonly failed: boolean;
  readonly by: readonly RequestField[] | undefined;
}

function isRequestField(name: string): name is RequestField {
  return REQUEST_FIELDS.some(field => field === name);
}

/** Parses `FIELD,...`. Throws if a name is unknown or given twice. */
function parseFields(text: string): RequestField[] {
  const names = text.split(',');
  const fields = names.filter(isRequestField);
  if (fields.length < names.length || new Set(fields).size < fields.length) {
    const known = REQUEST_FIELDS.join(', ');
    throw new Error(`--by needs different fields out of ${known}.`);
  }
  return fields;
}

function printSummary(
  lines: readonly string[],
  {failed, by}: SummaryOptions,
  context: CommandContext,
): void {
  const rows =
    by === undefined ? summarizeRequests(lines) : groupRequests(lines, by);
  for (const row of rows) {
    if (!failed || row.outcome !== 'ok') {
      context.output.line(JSON.stringify(row));
    }
  }
}

function printRequest(
  lines: readonly string[],
  id: string,
  context: CommandContext,
): void {
  const found = findRequestLines(lines, id);
  found.forEach(context.output.line);
  if (found.length === 0) {
    context.output.error(
      `No line of the log has the request id ${id}. Proxies leave out lines beyond a number per second.`,
    );
    context.exit(EXIT_CODES.failure);
  }
}

export function addRequestsCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'requests <log>',
    'Summarize the completed requests of a log by second, outcome and reason',
    builder =>
      builder
        .positional('log', {
          type: 'string',
          demandOption: true,
          describe: 'Log file of one or more proxies',
        })
        .option('failed', {
          type: 'boolean',
          describe: 'Show only requests that were not served',
        })
        .option('by', {
          type: 'string',
          requiresArg: true,
          coerce: parseFields,
          describe: `Count by outcome and fields, in place of seconds: FIELD,... of ${REQUEST_FIELDS.join(', ')}`,
        })
        .option('id', {
          type: 'string',
          requiresArg: true,
          describe: 'Print all lines of the request with this id, by time',
        })
        .conflicts('id', ['by', 'failed']),
    ({log, failed = false, by, id}) => {
      const lines = readFileSync(log, 'utf8').split('\n');
      if (id === undefined) {
        printSummary(lines, {failed, by}, context);
      } else {
        printRequest(lines, id, context);
      }
    },
  );
}
