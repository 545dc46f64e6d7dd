/** `kelpstep demo`: two proxies and stand-ins in one process, on loopback. */
import {enableLogs} from '@kelpstep/observability';
import type {Argv} from 'yargs';

import type {CommandContext} from '../command';
import {DEMO_GROUP, startDemoCluster} from '../demo/demo_cluster';
import {runWalkthrough} from '../demo/demo_walkthrough';
import {waitForStopSignal} from '../stop_signal';

export function addDemoCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'demo',
    'Run two proxies with stand-ins of databases and platform, and a walkthrough',
    builder =>
      builder.option('once', {
        type: 'boolean',
        default: false,
        describe: 'Exit after the walkthrough',
      }),
    async ({once}) => {
      const {output} = context;
      enableLogs('warn', context.environment['DEBUG']);
      const stopRequested = waitForStopSignal();
      const cluster = await startDemoCluster();
      const token = await runWalkthrough(cluster, output);
      if (!once) {
        const {address} = cluster.proxies[1];
        output.line(
          'The proxies keep running; try this command, and stop with Ctrl-C:',
        );
        output.line(
          `  kelpstep call read "list ?" -p acknowledged --proxy ${address} ` +
            `--group ${DEMO_GROUP} --token "${token}"`,
        );
        await stopRequested;
      }
      await cluster.stop();
    },
  );
}
