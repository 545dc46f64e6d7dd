/** `kelpstep proxy`: runs a proxy until it is told to stop. */
import {enableLogs} from '@kelpstep/observability';
import {startDaemon} from '@kelpstep/proxy';
import type {Argv} from 'yargs';

import type {CommandContext} from '../command';
import {EXIT_CODES} from '../exit_code';
import {readSettingsOrReport} from '../operator_client';
import {waitForStopSignal} from '../stop_signal';

/** Adds the command. */
export function addProxyCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'proxy',
    'Run a proxy; SIGTERM stops it gracefully, a second one at once',
    builder =>
      builder.option('settings', {
        type: 'string',
        demandOption: true,
        describe: 'Settings, a YAML file',
      }),
    async options => {
      const settings = readSettingsOrReport(context, options.settings);
      if (settings === undefined) {
        return;
      }
      enableLogs(settings.logLevel, context.environment['DEBUG']);
      const signalled = waitForStopSignal();
      const daemon = await startDaemon(settings);
      if (daemon.err) {
        context.output.error(daemon.val);
        context.exit(EXIT_CODES.failure);
        return;
      }
      await signalled;
      await daemon.val.stop();
    },
  );
}
