/** `kelpstep requests`: summarizes the requests in a log file. */
import {summarizeRequests} from '@kelpstep/observability';
import {readFileSync} from 'node:fs';
import type {Argv} from 'yargs';

import type {CommandContext} from '../command';

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
          default: false,
          describe: 'Show only requests that were not served',
        }),
    ({log, failed}) => {
      const rows = summarizeRequests(readFileSync(log, 'utf8').split('\n'));
      for (const row of rows) {
        if (!failed || row.outcome !== 'ok') {
          context.output.line(JSON.stringify(row));
        }
      }
    },
  );
}
