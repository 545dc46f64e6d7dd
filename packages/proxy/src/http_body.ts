/** Reads bodies of HTTP requests, up to a limit. */
import type {IncomingMessage} from 'node:http';

/** A body is read to its end if it is no larger than this many limits. */
const DISCARD_FACTOR = 16;

/**
 * Reads a body; `undefined` as soon as it is larger than the limit. What
 * follows is read and dropped, within bounds: a connection closed with bytes
 * unread would be reset and the client might never see the answer.
 */
export function readBody(
  request: IncomingMessage,
  maximumBytes: number,
  onBody: (body: string | undefined) => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let refused = false;

  function refuse(): void {
    if (!refused) {
      refused = true;
      chunks.length = 0;
      onBody(undefined);
    }
  }

  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes <= maximumBytes) {
      chunks.push(chunk);
      return;
    }
    refuse();
    if (bytes > DISCARD_FACTOR * maximumBytes) {
      request.destroy();
    }
  });
  request.on('end', () => {
    if (!refused) {
      onBody(joinChunks(chunks).toString('utf8'));
    }
  });
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
    refuse();
  }
}

/** Most bodies are one chunk, which needs no copy. */
function joinChunks(chunks: readonly Buffer[]): Buffer {
  const [only] = chunks;
  return chunks.length === 1 && only !== undefined
    ? only
    : Buffer.concat(chunks);
}
