/** Command line of measurements in real processes: `npm run measure -- --help`. */
import type {DeploymentName} from '@kelpstep/scenarios';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {renderTable, summarize} from './failover_gap/sample_summary';
import {measureFailover} from './failover_gap/measure_failover';

const DEPLOYMENT_NAMES: readonly DeploymentName[] = ['office', 'utility'];
const DEFAULT_RUN_COUNT = 20;

async function runFailover(
  deployment: DeploymentName,
  runs: number,
): Promise<void> {
  const sampleSets = await measureFailover({
    deployment,
    runs,
    onStep: step => process.stderr.write(`${deployment}: ${step}\n`),
  });
  const summaries = sampleSets.map(summarize);
  process.stdout.write(`${renderTable(summaries)}\n`);
  for (const summary of summaries) {
    process.stdout.write(`${JSON.stringify({deployment, ...summary})}\n`);
  }
}

void yargs(hideBin(process.argv))
  .scriptName('measure')
  .command(
    'failover',
    'Measures failover gaps and planned changes, in milliseconds',
    parser =>
      parser
        .option('deployment', {
          choices: DEPLOYMENT_NAMES,
          demandOption: true,
          describe: 'Defines slots, connections and set-up time',
        })
        .option('runs', {
          type: 'number',
          default: DEFAULT_RUN_COUNT,
          describe:
            'Number of primary failures and planned changes of each kind',
        }),
    ({deployment, runs}) => runFailover(deployment, runs),
  )
  .demandCommand(1, 'Specify a measurement.')
  .strict()
  .help()
  .version(false)
  .parseAsync();
