/** `kelpstep load`: shows the current load of several proxies. */
import {type LoadReport, summarizeLoad} from '@kelpstep/observability';
import type {Argv} from 'yargs';

import type {CommandContext} from '../command';
import {EXIT_CODES} from '../exit_code';
import {type ProxyMetricsReply, readMetrics} from '../metrics_client';
import {formatTable} from '../text_table';

const REQUEST_TIMEOUT_MS = 2000;
const MAXIMUM_REQUESTS = 64;

interface FailedProxy {
  readonly address: string;
  readonly reason: string;
}

function failedOf(replies: readonly ProxyMetricsReply[]): FailedProxy[] {
  return replies.flatMap(({address, samples}) =>
    samples.err ? [{address, reason: samples.val}] : [],
  );
}

function printTables(
  {groups, accounts}: LoadReport,
  {output}: CommandContext,
): void {
  const groupRows = groups.map(load => [
    load.group,
    load.open,
    load.used,
    load.pinned,
    load.queued,
    load.refused,
    load.ejected,
  ]);
  const accountRows = accounts.map(load => [
    load.account,
    load.operations,
    load.refusedForQuota,
  ]);
  const groupHeader = [
    ...['group', 'open', 'used', 'pinned'],
    ...['queued', 'refused', 'ejected'],
  ];
  formatTable(groupHeader, groupRows).forEach(output.line);
  output.line('');
  formatTable(
    ['account', 'operations', 'refused for quota'],
    accountRows,
  ).forEach(output.line);
}

function reportFailed(
  failed: readonly FailedProxy[],
  count: number,
  context: CommandContext,
): void {
  if (failed.length === 0) {
    return;
  }
  context.output.error(
    `${failed.length} of ${count} proxies did not answer and are not in the sums:`,
  );
  for (const {address, reason} of failed) {
    context.output.error(`${address}: ${reason}`);
  }
  context.exit(EXIT_CODES.failure);
}

export function addLoadCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'load <addresses..>',
    'Show connections, queues and refusals of proxies, by group and account',
    builder =>
      builder
        .positional('addresses', {
          type: 'string',
          array: true,
          demandOption: true,
          describe: "Addresses of the proxies' metrics, ip:port",
        })
        .option('json', {
          type: 'boolean',
          describe: 'Print one JSON object',
        }),
    async ({addresses, json = false}) => {
      const unique = [...new Set(addresses)];
      const replies = await readMetrics(unique, {
        timeout: REQUEST_TIMEOUT_MS,
        maximumRequests: MAXIMUM_REQUESTS,
      });
      const failed = failedOf(replies);
      const report = summarizeLoad(
        replies.flatMap(({samples}) => (samples.ok ? [...samples.val] : [])),
      );
      if (json) {
        const proxies = unique.length - failed.length;
        context.output.result({proxies, failed, ...report});
      } else {
        printTables(report, context);
      }
      reportFailed(failed, unique.length, context);
    },
  );
}
