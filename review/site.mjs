/** The figures of kallio-lab (further/LATER.md) that a script needs. */
const ZONES = ['uusimaa-a', 'pirkanmaa-a', 'pohjanmaa-a'];
const SERVICE = 'dele69a';
/** Lognormal work around a mean, cut at a maximum, as in the site file. */
const SPREAD = 0.7;

function drawWork(meanMs, maximumMs) {
  const angle = 2 * Math.PI * Math.random();
  const normal = Math.sqrt(-2 * Math.log(1 - Math.random())) * Math.cos(angle);
  const factor = Math.exp(SPREAD * normal - (SPREAD * SPREAD) / 2);
  return Math.min(maximumMs, meanMs * factor);
}

const route = (host, kind, rest) => ({
  name: `r-${host}`,
  host,
  prefix: '/',
  kind,
  service: SERVICE,
  'max-attempts': 2,
  ...rest,
});

export const ROUTES = {sampleReg: 'lepu270', reportRead: 'xapu221'};

export const KALLIO_LAB = {
  zones: ZONES,
  zoneRegions: {
    'uusimaa-a': 'uusimaa',
    'pirkanmaa-a': 'pirkanmaa',
    'pohjanmaa-a': 'pohjanmaa',
  },
  service: {
    name: SERVICE,
    count: 3,
    zones: ZONES,
    slots: 2,
    maxConns: 16,
    connectMs: 12,
    promoteMs: 1000,
    // One way between regions; each zone of the sheet is in a region of its own.
    networkMs: 20,
    workMs: isWrite => (isWrite ? drawWork(3, 22) : drawWork(15, 110)),
  },
  config: {
    version: 7,
    routes: [
      route(ROUTES.sampleReg, 'primary', {
        'timeout-ms': 800,
        'target-latency-ms': 600,
        priority: 1,
      }),
      route(ROUTES.reportRead, 'bounded', {
        'timeout-ms': 1200,
        'target-latency-ms': 800,
        priority: 2,
        'max-staleness-ms': 1500,
      }),
    ],
    services: [
      {
        name: SERVICE,
        'health-path': '/health',
        'max-conns': 16,
        'sync-replicas': 1,
      },
    ],
    limits: {'tx-idle-ms': 3000},
  },
  settings: {
    limits: {'cpu-share': 0.675, cores: 1},
    contracts: [
      'base',
      'drain',
      'config',
      'cost',
      'recover',
      'sql',
      'platform',
    ],
    bounds: {
      fencing: false,
      'grace-s': 6,
      'config-apply-ms': 4000,
      'drain-ms': 7000,
    },
  },
};
