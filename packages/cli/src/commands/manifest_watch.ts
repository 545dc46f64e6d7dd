/** `kelpstep manifest watch`: which proxy runs which version. */
import {proxyStatus} from '@kelpstep/proxy';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Argv} from 'yargs';

import type {CommandContext} from '../command';
import {EXIT_CODES} from '../exit_code';
import type {HttpClient} from '../http_client';
import {createOperatorClient, withOperatorOptions} from '../operator_client';

/** A proxy and the version that it runs; undefined if it doesn't answer. */
interface Observation {
  readonly address: string;
  readonly proxy: string | undefined;
  readonly version: number | undefined;
}

const POLL_INTERVAL = 200;

async function observe(
  address: string,
  client: HttpClient,
): Promise<Observation> {
  const reply = await client.request(proxyStatus, {});
  return reply.ok
    ? {
        address,
        proxy: reply.val.proxy.proxy,
        version: reply.val.manifest.version,
      }
    : {address, proxy: undefined, version: undefined};
}

/** Writes a line of JSON for each proxy whose version changed. */
function createChangePrinter(context: CommandContext) {
  const shown = new Map<string, string>();
  return (observation: Observation) => {
    const {address, proxy = null, version = null} = observation;
    const line = JSON.stringify({address, proxy, version});
    if (shown.get(address) !== line) {
      shown.set(address, line);
      context.output.line(line);
    }
  };
}

/** Adds the command. */
export function addWatchCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'watch [addresses..]',
    'Show which proxy runs which version, as it changes',
    builder =>
      withOperatorOptions(builder)
        .positional('addresses', {
          type: 'string',
          array: true,
          describe: "Operators' ports; by default that of the settings",
        })
        .option('until-version', {
          type: 'number',
          describe: 'End with 0 once all run this version or a later one',
        })
        .option('limit', {
          type: 'number',
          describe: 'End with 1 after so many milliseconds',
        }),
    async options => {
      const {addresses = [], untilVersion, limit = Infinity} = options;
      const named = addresses.length === 0 ? [options.operator] : addresses;
      const print = createChangePrinter(context);
      const end = Date.now() + limit;
      const clients = named.map(operator => ({
        address: operator ?? '',
        client: createOperatorClient(context, {...options, operator}),
      }));
      for (;;) {
        const observations: Observation[] = [];
        for (const {address, client} of clients) {
          if (client === undefined) {
            return;
          }
          observations.push(await observe(address, client));
        }
        observations.forEach(print);
        const isReached = observations.every(
          ({version = -1}) => version >= (untilVersion ?? Infinity),
        );
        if (isReached) {
          return;
        }
        if (Date.now() >= end) {
          context.exit(EXIT_CODES.failure);
          return;
        }
        await sleep(POLL_INTERVAL);
      }
    },
  );
}
