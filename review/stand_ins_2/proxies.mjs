// Starts the project's proxies with the command of the deploy file, as child processes.
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {join} from 'node:path';

const PORTS_PER_PROXY = 5;

async function findFreePorts(count) {
  const servers = [];
  for (let index = 0; index < count; index++) {
    const server = createServer();
    await new Promise(done => server.listen(0, '127.0.0.1', done));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(servers.map(server => new Promise(done => server.close(done))));
  return ports;
}

function commandOf(root) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const [program, ...words] = /^run = "(.*)"$/m.exec(text)[1].split(' ');
  return {program: program === 'node' ? process.execPath : program, words};
}

export async function createProxies({root, directory, count, platform, bounds, record}) {
  const ports = await findFreePorts(count * PORTS_PER_PROXY);
  const addresses = ports.map(port => `127.0.0.1:${port}`);
  const plans = Array.from({length: count}, (unused, index) => {
    const [callers, readiness, peers, relay, metrics] = addresses.slice(index * PORTS_PER_PROXY);
    return {name: `front-${index + 1}`, callers, readiness, peers, relay, metrics};
  });
  const {program, words} = commandOf(root);

  // The fields of deploy/settings.yaml.template, as JSON, which is YAML as well.
  function settingsOf({name, callers, readiness, peers, relay, metrics}) {
    return {
      proxy: name,
      dataCentre: 'zone-a',
      region: 'region-a',
      listen: {callers, readiness, peers, relay, metrics},
      seeds: plans.slice(0, 3).map(plan => plan.peers),
      capacity: 0.675,
      coreSpeed: 1,
      store: platform,
      promotions: platform,
      arePromotionsFenced: bounds.fencing,
      graceSeconds: bounds.graceS,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'platform'],
      configurationDelayMilliseconds: bounds.configApplyMs,
      registrationDelayMilliseconds: bounds.drainMs,
    };
  }

  return plans.map(plan => {
    const path = join(directory, `${plan.name}.yaml`);
    writeFileSync(path, JSON.stringify(settingsOf(plan)));
    const log = createWriteStream(join(directory, `${plan.name}.log`));
    let child;
    const isRunning = () => child !== undefined && child.exitCode === null && child.signalCode === null;
    return {
      ...plan,
      start() {
        child = spawn(program, words, {
          cwd: root,
          stdio: ['ignore', 'pipe', 'pipe'],
          env: {PATH: process.env.PATH, HOME: process.env.HOME, KELPSTEP_CONFIG: path, KELPSTEP_LOG: 'info'},
        });
        child.stdout.pipe(log, {end: false});
        child.stderr.pipe(log, {end: false});
        record('started', {proxy: plan.name});
      },
      isRunning,
      signal(name) {
        record(name, {proxy: plan.name});
        child.kill(name);
      },
      async end() {
        if (isRunning()) {
          const exited = new Promise(done => child.once('exit', done));
          child.kill('SIGKILL');
          await exited;
        }
      },
      async isReady() {
        try {
          const {status} = await fetch(`http://${plan.readiness}/ready`, {signal: AbortSignal.timeout(900)});
          return status === 200;
        } catch {
          return false;
        }
      },
    };
  });
}
