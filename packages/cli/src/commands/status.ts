/** `kelpstep status`: what a proxy tells of itself. */
import {proxyStatus} from '@kelpstep/proxy';
import type {Argv} from 'yargs';

import {CommandContext, reportResult} from '../command';
import {createOperatorClient, withOperatorOptions} from '../operator_client';

/** Adds the command. */
export function addStatusCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'status',
    'Show groups, members and readiness of a proxy',
    withOperatorOptions,
    async options => {
      const client = createOperatorClient(context, options);
      if (client !== undefined) {
        reportResult(context, await client.request(proxyStatus, {}));
      }
    },
  );
}
