/** The bench's command line: `npm run bench -- --help`. */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {runProxiedRead} from './proxied_read/proxied_read';
import {Row, formatJsonLines, formatTable} from './report';

const EXIT_FAILURE = 1;
const PHASE = 3000;

function print(rows: readonly Row[]): void {
  const text = `${formatTable(rows)}\n\n${formatJsonLines(rows)}\n`;
  process.stdout.write(text);
}

const commands = yargs(hideBin(process.argv))
  .scriptName('bench')
  .command(
    'proxied-read',
    'Reads and writes straight to a database and through one proxy.',
    parser =>
      parser
        .option('duration', {
          type: 'number',
          default: PHASE,
          describe: 'length of each phase, milliseconds',
        })
        .option('only', {
          type: 'string',
          default: '',
          describe: 'only loads with this in their name',
        })
        .option('proxy-flags', {
          type: 'string',
          default: '',
          describe: "flags of the proxy's Node.js, such as --cpu-prof",
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
  .demandCommand(1, 'Name a bench.')
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
