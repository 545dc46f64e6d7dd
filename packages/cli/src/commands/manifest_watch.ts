/** `kelpstep manifest watch`: shows the manifest version of each proxy. */
import {proxyStatus} from '@kelpstep/proxy';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Argv} from 'yargs';

import type {CommandContext} from '../command';
import {EXIT_CODES} from '../exit_code';
import type {HttpClient} from '../http_client';
import {createOperatorClient, withOperatorOptions} from '../operator_client';

/**
 * Name and manifest version of a proxy; both undefined if it does not answer.
 */
interface ProxyVersion {
  readonly address: string;
  readonly proxy: string | undefined;
  readonly version: number | undefined;
}

const POLL_INTERVAL_MS = 200;

async function fetchProxyVersion(
  address: string,
  client: HttpClient,
): Promise<ProxyVersion> {
  const reply = await client.request(proxyStatus, {});
  return reply.ok
    ? {
        address,
        proxy: reply.val.proxy.proxy,
        version: reply.val.manifest.version,
      }
    : {address, proxy: undefined, version: undefined};
}

/** Creates a function that prints a proxy's version as JSON if it changed. */
function createChangePrinter(context: CommandContext) {
  const printedLines = new Map<string, string>();
  return (proxyVersion: ProxyVersion) => {
    const {address, proxy = null, version = null} = proxyVersion;
    const line = JSON.stringify({address, proxy, version});
    if (printedLines.get(address) !== line) {
      printedLines.set(address, line);
      context.output.line(line);
    }
  };
}

export function addWatchCommand(yargs: Argv, context: CommandContext): Argv {
  return yargs.command(
    'watch [addresses..]',
    'Show the manifest version of each proxy, and its changes',
    builder =>
      withOperatorOptions(builder)
        .positional('addresses', {
          type: 'string',
          array: true,
          describe:
            "Addresses of operators' ports; by default that of the settings",
        })
        .option('until-version', {
          type: 'number',
          describe:
            'Exit with 0 once all proxies run this version or a later one',
        })
        .option('limit', {
          type: 'number',
          describe: 'Exit with 1 after this many milliseconds',
        }),
    async options => {
      const {addresses = [], untilVersion, limit = Infinity} = options;
      const operatorAddresses =
        addresses.length === 0 ? [options.operator] : addresses;
      const printChange = createChangePrinter(context);
      const end = Date.now() + limit;
      const clients = operatorAddresses.map(operator => ({
        address: operator ?? '',
        client: createOperatorClient(context, {...options, operator}),
      }));
      for (;;) {
        const proxyVersions: ProxyVersion[] = [];
        for (const {address, client} of clients) {
          if (client === undefined) {
            return;
          }
          proxyVersions.push(await fetchProxyVersion(address, client));
        }
        proxyVersions.forEach(printChange);
        const isReached = proxyVersions.every(
          ({version = -1}) => version >= (untilVersion ?? Infinity),
        );
        if (isReached) {
          return;
        }
        if (Date.now() >= end) {
          context.exit(EXIT_CODES.failure);
          return;
        }
        await sleep(POLL_INTERVAL_MS);
      }
    },
  );
}
