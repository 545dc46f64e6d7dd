/** Runs a stand-in as a process: `npm run stand-in -- --help`. */
import yargs, {type Argv} from 'yargs';
import {hideBin} from 'yargs/helpers';
import {z} from 'zod';

import {
  DEFAULT_DATABASE_SETTINGS,
  databaseSettingsSchema,
} from './database/database_settings';
import {startDatabase} from './embedded';
import {
  NO_PLATFORM_FAULTS,
  platformFaultsSchema,
} from './platform/platform_faults';
import {startPlatformServer} from './platform/platform_server';

const EXIT_FAILURE = 1;

/** A stand-in that runs until the process gets a signal. */
interface RunningStandIn {
  readonly address: string;
  stop(): unknown;
}

/** Adds numeric options, named after the settings in kebab case. */
function addNumberOptions<T extends object>(
  parser: Argv<T>,
  defaults: Readonly<Record<string, number>>,
): Argv<T> {
  return Object.entries(defaults).reduce(
    (extended, [name, value]) =>
      extended.option(toKebabCase(name), {
        type: 'number',
        default: value,
        requiresArg: true,
      }) as Argv<T>,
    parser,
  );
}

function toKebabCase(name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/** Picks the named settings from the parsed command line. */
function pickSettings(
  parsed: Readonly<Record<string, unknown>>,
  names: readonly string[],
): Record<string, unknown> {
  return Object.fromEntries(names.map(name => [name, parsed[name]]));
}

function describeError(error: unknown): string {
  if (error instanceof z.ZodError) {
    return z.prettifyError(error);
  }
  return error instanceof Error ? error.message : String(error);
}

/** Reports the address on standard output; stops on SIGTERM or SIGINT. */
async function run(starting: Promise<RunningStandIn>): Promise<void> {
  const running = await starting;
  const line = {event: 'listening', address: running.address};
  process.stdout.write(`${JSON.stringify(line)}\n`);
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => {
      void Promise.resolve(running.stop()).then(() => process.exit());
    });
  }
}

const PLATFORM_DEFAULTS = {
  latency: NO_PLATFORM_FAULTS.latency,
  slowness: NO_PLATFORM_FAULTS.slowness,
  listingLag: NO_PLATFORM_FAULTS.listingLag,
};

const address = {
  type: 'string',
  demandOption: true,
  requiresArg: true,
  describe: 'ip:port to listen on',
} as const;

const commands = yargs(hideBin(process.argv))
  .scriptName('stand-in')
  .command(
    'database',
    'A target of a group. Durations are in milliseconds.',
    parser =>
      addNumberOptions(
        parser.option('address', address).option('id', {
          type: 'string',
          demandOption: true,
          requiresArg: true,
          describe: 'member id, as in the manifest',
        }),
        DEFAULT_DATABASE_SETTINGS,
      ),
    async parsed =>
      run(
        startDatabase({
          id: parsed.id,
          address: parsed.address,
          settings: databaseSettingsSchema.parse(
            pickSettings(parsed, Object.keys(DEFAULT_DATABASE_SETTINGS)),
          ),
        }),
      ),
  )
  .command(
    'platform',
    'Table service, object store and instance list over HTTP.',
    parser =>
      addNumberOptions(parser.option('address', address), PLATFORM_DEFAULTS),
    async parsed =>
      run(
        startPlatformServer({
          address: parsed.address,
          faults: platformFaultsSchema
            .partial()
            .parse(pickSettings(parsed, Object.keys(PLATFORM_DEFAULTS))),
        }),
      ),
  )
  .demandCommand(1, 'Specify a stand-in: database or platform.')
  .strict()
  .help()
  .version(false)
  // Throws, so that no command runs if the command line is invalid.
  .fail((message, error) => {
    throw error ?? new Error(message);
  });

async function main(): Promise<void> {
  try {
    await commands.parseAsync();
  } catch (error) {
    process.stderr.write(`stand-in: ${describeError(error)}\n`);
    process.exitCode = EXIT_FAILURE;
  }
}

void main();
