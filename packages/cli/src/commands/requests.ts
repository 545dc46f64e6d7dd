/** `kelpstep requests`: what a log says about requests, second by second. */
import {summarizeRequests} from '@kelpstep/observability';
import {readFileSync} from 'node:fs';
import type {Argv} from 'yargs';

import type {CommandContext} from '../command';

/** Adds the command. */
export function addRequestsCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'requests <log>',
    'Sum up the ended requests of a log, by second, outcome and reason',
    builder =>
      builder
        .positional('log', {
          type: 'string',
          demandOption: true,
          describe: 'File with log lines of one or more proxies',
        })
        .option('failed', {
          type: 'boolean',
          default: false,
          describe: 'Only requests that were not served',
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
