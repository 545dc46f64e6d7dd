// Planned work replaces a replica. Shortly before the old replica ends, the primary crashes,
// and comes back with its log 5 s later. The final fault strikes right after the store has
// acknowledged the row in which the proxies choose the successor. The old replica ends while
// the proxies are down.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

import {pause, runCase} from '../stand_ins_2/deployment.mjs';

const NEW = 'i-4';
/** From the start of the new replica until the old one drains. */
const JOIN_MS = 2000;
/** A database that drains goes on for `drain-ms` of the site, and somewhat longer. */
const DRAIN_MS = 7000;
const END_AFTER_FAULT_MS = 600;
const PRIMARY_DOWN_MS = 5000;
/** Without a crash, and if nothing is chosen, the final fault strikes after this time. */
const CHOICE_LIMIT_MS = 1500;

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  site: 'kps-handbook',
  async disrupt({service, record, hasTrouble, setRowListener}) {
    const chosen = new Promise(done => {
      setRowListener((table, key, value) => {
        if (value.phase === 'ordered') {
          record('acknowledged', {table, key, value});
          done();
        }
      });
    });
    await service.join(NEW);
    await pause(JOIN_MS);
    const leaving = [...service.databases.keys()].find(id => id !== service.primary() && id !== NEW);
    service.drain(leaving);
    await pause(DRAIN_MS);
    if (hasTrouble) {
      const primary = service.primary();
      void service.crash(primary);
      setTimeout(() => void service.restart(primary, false), PRIMARY_DOWN_MS);
    }
    await Promise.race([chosen, pause(CHOICE_LIMIT_MS)]);
    setTimeout(() => void service.leave(leaving), END_AFTER_FAULT_MS);
  },
});
