/** `kelpstep account`: generates a key for a client account. */
import {digestKey} from '@kelpstep/accounts';
import {randomBytes} from 'node:crypto';
import type {Argv} from 'yargs';

import {type CommandContext} from '../command';

const KEY_BYTES = 24;

export function addAccountCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'account <name>',
    'Generate a key for the caller and its digest for the manifest',
    builder =>
      builder.positional('name', {
        type: 'string',
        demandOption: true,
        describe: 'Name of the client account',
      }),
    ({name}) => {
      const key = randomBytes(KEY_BYTES).toString('base64url');
      const keyDigest = digestKey(Buffer.from(key));
      context.output.result({name, key, keyDigest});
    },
  );
}
