import { test } from 'node:test'
import { expect } from 'earl'
import { Registry } from 'prom-client'
import { ManualClock } from '../../src/common/ManualClock.js'
import { createRegistry } from '../../src/metrics/createRegistry.js'
import { EntryMetrics } from '../../src/metrics/EntryMetrics.js'
import { RollingHistogram } from '../../src/metrics/RollingHistogram.js'

// Guards against counters without the reason, service or customer.
test('refusals and retries are counted by reason', async () => {
  const registry = new Registry()
  const metrics = new EntryMetrics(registry, new ManualClock())
  metrics.refused('rateCap', 'stock', 'ann')
  metrics.refused('rateCap', 'stock', 'ann')
  metrics.retried('upstreamReset', 'stock', 'ann')
  metrics.hedged('stock', 'ann')
  metrics.replaced(503, 'stock', 'ann')
  const text = await registry.metrics()
  expect(text).toInclude('shunt_refused_total{code="2001",name="rateCap",service="stock",customer="ann"} 2')
  expect(text).toInclude('shunt_retried_total{code="5002",name="upstreamReset",service="stock",customer="ann"} 1')
  expect(text).toInclude('shunt_hedged_total{service="stock",customer="ann"} 1')
  expect(text).toInclude('shunt_responses_replaced_total{status="503",service="stock",customer="ann"} 1')
})

// Guards against memory use that grows with the number of customers, and against lost counts.
test('label sets are bounded and further ones are counted under other', async () => {
  const registry = new Registry()
  const metrics = new EntryMetrics(registry, new ManualClock(), 10)
  for (let index = 0; index < 500; index++) metrics.refused('rateCap', 'stock', `c${index}`)
  const lines = (await registry.metrics()).split('\n').filter((line) => line.startsWith('shunt_refused_total{'))
  expect(lines).toHaveLength(11)
  expect(lines.at(-1)!).toInclude('service="other",customer="other"} 490')
})

// Guards against wrong quantiles and against values that never expire.
test('quantiles are computed from recent values', async () => {
  const clock = new ManualClock()
  const registry = new Registry()
  const metrics = new EntryMetrics(registry, clock)
  for (let ms = 1; ms <= 100; ms++) metrics.completed('stock', 'ann', ms)
  metrics.measuredHeadroom('stock', 0.25)
  metrics.drained('host', 4_000)
  const text = await registry.metrics()
  expect(text).toInclude('shunt_latency_ms{service="stock",quantile="0.5"} 50')
  expect(text).toInclude('shunt_latency_ms{service="stock",quantile="0.9"} 90')
  expect(text).toInclude('shunt_headroom_ratio{service="stock",quantile="0.5"} 0.25')
  expect(text).toMatchRegex(/shunt_drain_ms\{kind="host",quantile="1"\} 40\d\d/)
  clock.advance(121_000)
  expect(await registry.metrics()).toInclude('shunt_latency_ms{service="stock",quantile="0.9"} 0')
})

// Guards against values that are kept while the histogram is idle or that are lost when the windows rotate.
test('a value is kept for one window and dropped after two', () => {
  const clock = new ManualClock()
  const histogram = new RollingHistogram(clock)
  histogram.record(7)
  clock.advance(61_000)
  expect(histogram.quantile(0.5)).toEqual(7)
  clock.advance(61_000)
  expect(histogram.quantile(0.5)).toEqual(0)
})

// Guards against processes with indistinguishable metrics, and against missing memory metrics.
test('the registry has process metrics with host and process', async () => {
  const text = await createRegistry({ host: 'h', process: 'shunt-entry' }).metrics()
  expect(text).toMatchRegex(/process_resident_memory_bytes\{host="h",process="shunt-entry"\} \d+/)
})
