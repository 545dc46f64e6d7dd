/** `kelpstep status`: shows the status of a proxy. */
import {proxyStatus} from '@kelpstep/proxy';
import type {Argv} from 'yargs';

import {CommandContext, reportResult} from '../command';
import {createOperatorClient, withOperatorOptions} from '../operator_client';

export function addStatusCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'status',
    'Show the groups, members and readiness of a proxy',
    withOperatorOptions,
    async options => {
      const client = createOperatorClient(context, options);
      if (client !== undefined) {
        reportResult(context, await client.request(proxyStatus, {}));
      }
    },
  );
}
