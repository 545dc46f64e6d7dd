import {expect} from 'earl';
import {describe, test} from 'node:test';

import type {PinnedConnection} from '../src/statement_request';
import {COSTLY_ROUTE, createLoadedLink} from './target_load';

const CONNECTION_COUNT = 3;

describe('the load of a target', () => {
  // Guards against metrics that leave out connections or count them twice.
  test('counts each connection in one state, and queued statements', () => {
    const {timer, link, createStatement} = createLoadedLink(
      1,
      CONNECTION_COUNT,
    );
    const begin = {kind: 'begin', readOnly: true} as const;
    const read = (user: string) => createStatement(COSTLY_ROUTE, user);
    let pinned: PinnedConnection | undefined;
    link.pin({...read('a'), request: {body: begin}}).onSettled(start => {
      pinned = start.pinned;
    });
    void link.run(read('b'));
    timer.advance(100);
    expect(link.load()).toEqual({idle: 1, used: 0, pinned: 1, queued: 0});

    Array.from({length: 6}, () => void link.run(read('b')));
    timer.advance(1);
    const {idle, used, pinned: kept, queued} = link.load();
    expect([idle, used, kept, queued > 0]).toEqual([0, 1, 1, true]);

    timer.advance(300);
    pinned?.end();
    timer.advance(100);
    const after = link.load();
    expect([after.used, after.pinned, after.queued]).toEqual([0, 0, 0]);
  });
});
