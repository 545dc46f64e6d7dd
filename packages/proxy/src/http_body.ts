/** Reads the bodies of HTTP requests up to a size limit. */
import type {IncomingMessage} from 'node:http';

/** Size, as a multiple of the limit, up to which a large body is discarded. */
const MAXIMUM_DISCARD_RATIO = 16;

/**
 * Reads a body. `onBody` is called with `undefined` as soon as the body exceeds
 * the limit. The rest of it is read and discarded up to a bound, because a
 * connection that is closed with unread bytes is reset, and the client might
 * not get the response.
 */
export function readBody(
  request: IncomingMessage,
  maximumBytes: number,
  onBody: (body: string | undefined) => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let refused = false;

  function reject(): void {
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
    reject();
    if (bytes > MAXIMUM_DISCARD_RATIO * maximumBytes) {
      request.destroy();
    }
  });
  request.on('end', () => {
    if (!refused) {
      onBody(joinChunks(chunks).toString('utf8'));
    }
  });
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
    reject();
  }
}

/**
 * Concatenates chunks. A single chunk, the most frequent case, is not copied.
 */
function joinChunks(chunks: readonly Buffer[]): Buffer {
  const [only] = chunks;
  return chunks.length === 1 && only !== undefined
    ? only
    : Buffer.concat(chunks);
}
