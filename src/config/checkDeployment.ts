import type { ConfigIssue } from './ConfigIssue.js'
import type { ConfigRow } from './ConfigRow.js'
import { defaultPorts } from './defaultPorts.js'
import { findDuplicates } from './findDuplicates.js'
import { findUnknownReference } from './findUnknownReference.js'
import { listRows } from './listRows.js'

/** Paths that services must not use, since `/v1/lookup` is served on the callers' port too. */
const reservedPaths = ['v1']

/** Checks the relations between the parts of a deployment document, which may be invalid. */
export function checkDeployment (value: unknown): ConfigIssue[] {
  const zones = listRows(value, 'zones')
  const hosts = listRows(value, 'hosts')
  const services = listRows(value, 'services')
  const endpoints = listRows(value, 'endpoints')
  const zoneNames = collectNames(zones, 'name')
  return [
    ...findDuplicates('zone', listValues(zones, 'name')),
    ...checkZoneNames(zones),
    ...findDuplicates('host', listValues(hosts, 'name')),
    ...hosts.flatMap((row) => findUnknownReference('zone', [...row.keys, 'zone'], row.fields.zone, zoneNames)),
    ...findDuplicates('host address', hosts.flatMap(listPortAddresses)),
    ...findDuplicates('service', listValues(services, 'name')),
    ...findDuplicates('path', listValues(services, 'path')),
    ...services.flatMap(checkService),
    ...findDuplicates('endpoint', listValues(endpoints, 'name')),
    ...findDuplicates('endpoint address', listValues(endpoints, 'address')),
    ...endpoints.flatMap((row) => checkEndpoint(row, zoneNames, collectNames(services, 'name'))),
    ...checkLinks(listRows(value, 'links'), collectNames(zones, 'region')),
    ...checkObjective(value)
  ]
}

function listValues (rows: readonly ConfigRow[], key: string): { keys: (string | number)[], value: string }[] {
  return rows.flatMap(({ keys, fields }) => {
    const value = fields[key]
    return typeof value === 'string' ? [{ keys: [...keys, key], value }] : []
  })
}

function collectNames (rows: readonly ConfigRow[], key: string): Set<string> {
  return new Set(listValues(rows, key).map(({ value }) => value))
}

/**
 * Reports zones with the name of a region to which they don't belong. A site of the block table is a region or a zone, so its
 * name must be unambiguous.
 */
function checkZoneNames (zones: readonly ConfigRow[]): ConfigIssue[] {
  const regions = collectNames(zones, 'region')
  return zones
    .filter(({ fields }) => typeof fields.name === 'string' && fields.name !== fields.region && regions.has(fields.name))
    .map(({ keys, fields }) => ({ keys: [...keys, 'name'], message: `zone "${String(fields.name)}" has the name of a region to which it does not belong` }))
}

/** Lists every `address:port` of a host, default ports included. Two hosts may share an address, but no port of it. */
function listPortAddresses (row: ConfigRow): { keys: (string | number)[], value: string }[] {
  const { address } = row.fields
  if (typeof address !== 'string') return []
  const ports = typeof row.fields.ports === 'object' && row.fields.ports !== null ? row.fields.ports as Record<string, unknown> : {}
  return Object.entries(defaultPorts).flatMap(([key, defaultPort]) => {
    const port = ports[key] ?? defaultPort
    const keys = key in ports ? [...row.keys, 'ports', key] : [...row.keys, 'address']
    return typeof port === 'number' ? [{ keys, value: `${address}:${port}` }] : []
  })
}

function checkService (row: ConfigRow): ConfigIssue[] {
  const { path } = row.fields
  const isReserved = typeof path === 'string' && reservedPaths.includes(path)
  const issues = isReserved ? [{ keys: [...row.keys, 'path'], message: `path "${path}" is reserved for the system` }] : []
  return [...issues, ...checkRoutes(listRows(row.fields, 'routes', row.keys))]
}

/** Reports routes of a service with the same method and prefix. */
function checkRoutes (routes: readonly ConfigRow[]): ConfigIssue[] {
  return findDuplicates('route', routes.flatMap(({ keys, fields }) => {
    const { methods = [], prefix = '' } = fields
    if (!Array.isArray(methods) || typeof prefix !== 'string') return []
    const matched = methods.length > 0 ? methods.filter((method) => typeof method === 'string') : ['any method']
    return matched.map((method) => ({ keys, value: `${method} /${prefix.replace(/^\//, '')}` }))
  }))
}

function checkEndpoint (row: ConfigRow, zones: ReadonlySet<string>, services: ReadonlySet<string>): ConfigIssue[] {
  const { slots, maxConnections } = row.fields
  const hasTooFewConnections = typeof slots === 'number' && typeof maxConnections === 'number' && maxConnections < slots
  return [
    ...findUnknownReference('service', [...row.keys, 'service'], row.fields.service, services),
    ...findUnknownReference('zone', [...row.keys, 'zone'], row.fields.zone, zones),
    ...(hasTooFewConnections ? [{ keys: [...row.keys, 'maxConnections'], message: `must be at least the number of slots (${slots})` }] : [])
  ]
}

function checkLinks (links: readonly ConfigRow[], regions: ReadonlySet<string>): ConfigIssue[] {
  const validLinks = links.flatMap(({ keys, fields: { regions: pair } }) => {
    const valid = Array.isArray(pair) && pair.length === 2 && pair.every((region) => typeof region === 'string')
    return valid ? [{ keys: [...keys, 'regions'], pair: pair as string[] }] : []
  })
  return [
    ...validLinks.flatMap(({ keys, pair }) => pair.flatMap((region, index) => findUnknownReference('region', [...keys, index], region, regions))),
    ...validLinks.filter(({ pair }) => pair[0] === pair[1]).map(({ keys }) => ({ keys, message: 'a link must join two different regions' })),
    ...findDuplicates('link', validLinks.map(({ keys, pair }) => ({ keys, value: pair.toSorted().join(' - ') })))
  ]
}

function checkObjective (value: unknown): ConfigIssue[] {
  const objective = (value as { objective?: { latency?: unknown, headroom?: unknown } | null } | null)?.objective
  if (objective?.latency !== 0 || objective.headroom !== 0) return []
  return [{ keys: ['objective'], message: 'latency and headroom must not both be 0' }]
}
