import {createVirtualTimer} from '@kelpstep/runtime';
import createDebug from 'debug';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {LogLevel, createLogger, enableLogs} from '..';

function logAtAllLevels(lowest: LogLevel, debugVariable?: string): unknown[] {
  const lines: string[] = [];
  enableLogs(lowest, debugVariable);
  const logger = createLogger({
    part: 'proxy',
    proxy: 'p1',
    timer: createVirtualTimer(),
    writeLine: line => lines.push(line),
  });
  logger.debug('quiet');
  logger.info('started', {address: '127.0.0.1:1', message: '100%d "done"\n'});
  logger.forPart('edge').error('broken', {requestId: 'r1'});
  createDebug.disable();
  return lines.map(line => JSON.parse(line));
}

describe('a logger', () => {
  test('writes a JSON object per line, with time, level, part and event', () => {
    expect(logAtAllLevels('info')).toEqual([
      {
        time: '2026-01-01T00:00:00.000Z',
        level: 'info',
        proxy: 'p1',
        part: 'proxy',
        event: 'started',
        address: '127.0.0.1:1',
        message: '100%d "done"\n',
      },
      {
        time: '2026-01-01T00:00:00.000Z',
        level: 'error',
        proxy: 'p1',
        part: 'edge',
        event: 'broken',
        requestId: 'r1',
      },
    ]);
  });

  test('omits lines below the level', () => {
    expect(logAtAllLevels('error').length).toEqual(1);
    expect(logAtAllLevels('debug').length).toEqual(3);
  });

  test('prefers the DEBUG variable to the level', () => {
    expect(logAtAllLevels('error', 'kelpstep:proxy:*').length).toEqual(2);
  });
});
