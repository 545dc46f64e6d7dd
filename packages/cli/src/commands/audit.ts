/** `kelpstep audit`: lists the audit trail. */
import {AuditPage, auditKeyAt} from '@kelpstep/observability';
import {MAXIMUM_AUDIT_PAGE_ROWS, auditList} from '@kelpstep/proxy';
import type {Failure} from '@kelpstep/protocol';
import type {Result} from 'ts-results';
import type {Argv} from 'yargs';

import {CommandContext, reportFailure} from '../command';
import type {HttpClient} from '../http_client';
import {createOperatorClient, withOperatorOptions} from '../operator_client';

/** Writes each entry after `startKey` as one line of JSON, oldest first. */
async function printEntries(
  context: CommandContext,
  client: HttpClient,
  startKey: string,
): Promise<void> {
  let after: string | undefined = startKey;
  let dropped = 0;
  while (after !== undefined) {
    const page: Result<AuditPage, Failure> = await client.request(auditList, {
      after,
      limit: MAXIMUM_AUDIT_PAGE_ROWS,
    });
    if (page.err) {
      reportFailure(context, page.val);
      return;
    }
    for (const entry of page.val.entries) {
      const when = new Date(entry.when).toISOString();
      context.output.line(JSON.stringify({...entry, when}));
    }
    dropped += page.val.dropped;
    after = page.val.next;
  }
  if (dropped > 0) {
    context.output.error(
      `Audit trail incomplete: ${dropped} entries were lost in platform outages.`,
    );
  }
}

export function addAuditCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'audit',
    'Show the audit trail, oldest entry first',
    builder =>
      withOperatorOptions(builder).option('since', {
        type: 'string',
        describe: 'Only entries stored at or after this time, ISO 8601',
      }),
    async options => {
      const since = options.since === undefined ? 0 : Date.parse(options.since);
      if (Number.isNaN(since)) {
        throw new Error(
          '--since must be an ISO 8601 time such as 2026-01-31T12:00:00Z.',
        );
      }
      const client = createOperatorClient(context, options);
      if (client !== undefined) {
        await printEntries(context, client, auditKeyAt(since));
      }
    },
  );
}
