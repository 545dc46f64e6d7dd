/** Command line of the bench: `npm run bench -- --help`. */
import {STATEMENT_FAULTS} from '@kelpstep/scenarios';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {runPolicy, summarize} from './policies/compare_policies';
import {FAULT_NAMES} from './policies/named_faults';
import {POLICY_NAMES} from './policies/named_policies';
import {runProxiedRead} from './proxied_read/proxied_read';
import {Row, formatJsonLines, formatTable} from './report';
import {simulateStatements} from './statements/simulate_statements';

const EXIT_FAILURE = 1;
const DEFAULT_PHASE_MS = 3000;
const DEFAULT_SERVICE_TIME_MS = 10;
const SPAN_MS = 10_000;

function print(rows: readonly Row[]): void {
  const text = `${formatTable(rows)}\n\n${formatJsonLines(rows)}\n`;
  process.stdout.write(text);
}

const commands = yargs(hideBin(process.argv))
  .scriptName('bench')
  .command(
    'proxied-read',
    'Compares reads and writes sent directly to a database and through a proxy.',
    parser =>
      parser
        .option('duration', {
          type: 'number',
          default: DEFAULT_PHASE_MS,
          describe: 'duration of each phase, milliseconds',
        })
        .option('only', {
          type: 'string',
          default: '',
          describe: 'runs only loads whose name contains this text',
        })
        .option('proxy-flags', {
          type: 'string',
          default: '',
          describe: 'Node.js flags of the proxy, such as --cpu-prof',
        }),
    async ({duration, only, proxyFlags}) => {
      const rows: Row[] = [];
      await runProxiedRead({
        duration,
        only,
        proxyFlags: proxyFlags.split(' ').filter(flag => flag !== ''),
        onRow: row => rows.push(row),
      });
      print(rows);
    },
  )
  .command(
    'statements',
    'Simulates statement sessions with faults in virtual time; checks all rules.',
    parser =>
      parser
        .option('fault', {
          choices: [...STATEMENT_FAULTS, 'pairs'] as const,
          default: 'pairs' as const,
        })
        .option('seed', {type: 'number', default: 1, describe: 'first seed'})
        .option('seeds', {type: 'number', default: 20})
        .option('sessions', {type: 'number', default: 18}),
    ({fault, seed, seeds, sessions}) => {
      const rows = Array.from({length: seeds}, (unusedItem, index) =>
        simulateStatements({fault, seed: seed + index, sessions}),
      );
      print(rows);
      if (rows.some(({broken}) => broken !== '')) {
        process.exitCode = EXIT_FAILURE;
      }
    },
  )
  .command(
    '$0',
    'Compares policies in virtual time, for a deployment under load with a fault.',
    parser =>
      parser
        .option('deployment', {
          choices: ['office', 'utility'] as const,
          demandOption: true,
        })
        .option('policy', {
          choices: POLICY_NAMES,
          array: true,
          default: ['default', 'first-come'] as const,
          describe: 'policies to compare',
        })
        .option('fault', {choices: FAULT_NAMES, default: 'none' as const})
        .option('seed', {type: 'number', default: 1, describe: 'first seed'})
        .option('seeds', {
          type: 'number',
          default: 3,
          describe: 'number of seeds',
        })
        .option('load', {
          type: 'number',
          default: 0.7,
          describe: 'multiple of the capacity of all slots',
        })
        .option('proxies', {type: 'number', default: 7})
        .option('service-time', {
          type: 'number',
          default: DEFAULT_SERVICE_TIME_MS,
          describe: 'time that a statement occupies its slot, milliseconds',
        }),
    ({policy: policies, seed, seeds, ...settings}) => {
      const {deployment, fault, load} = settings;
      const rows = policies.flatMap(policy =>
        summarize(
          {deployment, fault, load, policy},
          Array.from({length: seeds}, (unusedItem, index) =>
            runPolicy({...settings, span: SPAN_MS}, policy, seed + index),
          ),
        ),
      );
      print(rows);
    },
  )
  .strict()
  .help()
  .version(false)
  .fail((message, error) => {
    throw error ?? new Error(message);
  });

async function main(): Promise<void> {
  try {
    await commands.parseAsync();
  } catch (error) {
    process.stderr.write(`bench: ${String(error)}\n`);
    process.exitCode = EXIT_FAILURE;
  }
}

void main();
