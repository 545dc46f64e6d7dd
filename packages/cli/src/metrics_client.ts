/** Reads the metrics of several proxies over HTTP. */
import {type MetricSample, parseMetrics} from '@kelpstep/observability';
import {Err, Ok, type Result} from 'ts-results';

/** The metrics of one proxy, or why they could not be read. */
export interface ProxyMetricsReply {
  /** `ip:port` of the proxy's metrics. */
  readonly address: string;
  readonly samples: Result<readonly MetricSample[], string>;
}

export interface MetricsClientOptions {
  /** Maximum time for the whole answer of a proxy, in milliseconds. */
  readonly timeout: number;
  /** Maximum number of requests that are open at the same time. */
  readonly maximumRequests: number;
}

const METRIC_PREFIX = 'kelpstep_';

function reasonOf(error: unknown): string {
  if (!(error instanceof Error)) {
    return String(error);
  }
  const {cause} = error;
  const hasCode =
    typeof cause === 'object' && cause !== null && 'code' in cause;
  return hasCode ? String(cause.code) : error.message;
}

async function readSamples(
  address: string,
  timeout: number,
): Promise<Result<readonly MetricSample[], string>> {
  try {
    const response = await fetch(`http://${address}/metrics`, {
      signal: AbortSignal.timeout(timeout),
    });
    if (!response.ok) {
      await response.body?.cancel();
      return Err(`status ${response.status}`);
    }
    const samples = parseMetrics(await response.text());
    const isProxy = samples.some(({name}) => name.startsWith(METRIC_PREFIX));
    return isProxy ? Ok(samples) : Err('no metrics of a proxy');
  } catch (error) {
    return Err(reasonOf(error));
  }
}

/** Reads the metrics of all proxies; replies are in the order of `addresses`. */
export async function readMetrics(
  addresses: readonly string[],
  {timeout, maximumRequests}: MetricsClientOptions,
): Promise<ProxyMetricsReply[]> {
  const replies: ProxyMetricsReply[] = [];
  const remaining = addresses.entries();

  async function readRemaining(): Promise<void> {
    for (const [index, address] of remaining) {
      const samples = await readSamples(address, timeout);
      replies[index] = {address, samples};
    }
  }

  const workers = Math.min(maximumRequests, addresses.length);
  await Promise.all(Array.from({length: workers}, readRemaining));
  return replies;
}
