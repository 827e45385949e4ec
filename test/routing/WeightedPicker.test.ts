import { expect } from 'earl'
import fc from 'fast-check'
import { test } from 'node:test'
import { WeightedPicker } from '../../src/routing/WeightedPicker.js'
import { createRoute } from '../support/createRoute.js'

// Guards against shares that deviate from the weights, in long runs and in short ones.
test('requests follow the weights in every run', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 1, maxLength: 4 }), (weights) => {
    const picker = new WeightedPicker()
    const route = createRoute({ parts: weights.map((weight, index) => ({ service: `s${index}`, weight })) })
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    const counts = new Map<string, number>()
    for (let picked = 1; picked <= 200; picked++) {
      const service = picker.pick(route)
      counts.set(service, (counts.get(service) ?? 0) + 1)
      for (const [index, weight] of weights.entries()) {
        const expected = picked * weight / total
        if (Math.abs((counts.get(`s${index}`) ?? 0) - expected) > weights.length) return false
      }
    }
    return true
  }))
})

// Guards against credits that are kept when the services of a route change.
test('credits are reset when the services of a route change', () => {
  const picker = new WeightedPicker()
  picker.pick(createRoute({ parts: [{ service: 'a', weight: 1 }, { service: 'b', weight: 1 }] }))
  expect(picker.pick(createRoute({ parts: [{ service: 'c', weight: 1 }] }))).toEqual('c')
})
