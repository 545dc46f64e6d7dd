/** `kelpstep proxy`: runs a proxy until SIGTERM or SIGINT. */
import {enableLogs} from '@kelpstep/observability';
import {startDaemon} from '@kelpstep/proxy';
import type {Argv} from 'yargs';

import type {CommandContext} from '../command';
import {EXIT_CODES} from '../exit_code';
import {readSettingsOrReport} from '../operator_client';
import {waitForStopSignal} from '../stop_signal';

export function addProxyCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'proxy',
    'Run a proxy; SIGTERM stops it gracefully, a second one immediately',
    builder =>
      builder.option('settings', {
        type: 'string',
        demandOption: true,
        describe: 'Settings file, YAML',
      }),
    async options => {
      const settings = readSettingsOrReport(context, options.settings);
      if (settings === undefined) {
        return;
      }
      enableLogs(settings.logLevel, context.environment['DEBUG']);
      const stopRequested = waitForStopSignal();
      const daemon = await startDaemon(settings);
      if (daemon.err) {
        context.output.error(daemon.val);
        context.exit(EXIT_CODES.failure);
        return;
      }
      await stopRequested;
      await daemon.val.stop();
    },
  );
}
