import type { MemberRecord, MembershipState, PublishedValue } from "@filbertrelay/policy";
import { visibleState } from "@filbertrelay/policy";
import type { GossipValue, Member } from "../contract.js";

// Other services read members and values for each request, so the lists are built only once per change of the membership table.
const memberLists = new WeakMap<MembershipState["members"], readonly Member[]>();
const valueLists = new WeakMap<MembershipState["values"], ReadonlyMap<string, readonly GossipValue[]>>();

/** Converts a member record to the form that other services see. */
export function viewMember(record: MemberRecord): Member {
    return { hostId: record.hostId, incarnation: record.incarnation, ...record.details, state: visibleState(record) };
}

/** All members of a state, this host and dead ones included. */
export function viewMembers(state: MembershipState): readonly Member[] {
    const cached = memberLists.get(state.members);
    if (cached !== undefined) {
        return cached;
    }
    const list = [...state.members.values()].map(viewMember);
    memberLists.set(state.members, list);
    return list;
}

/** The values published under a name by members that are not dead. */
export function viewValues(state: MembershipState, name: string): readonly GossipValue[] {
    const cached = valueLists.get(state.values);
    if (cached !== undefined) {
        return cached.get(name) ?? [];
    }
    const lists = groupByName([...state.values.values()]);
    valueLists.set(state.values, lists);
    return lists.get(name) ?? [];
}

function groupByName(values: readonly PublishedValue[]): Map<string, GossipValue[]> {
    const lists = new Map<string, GossipValue[]>();
    for (const value of values) {
        const list = lists.get(value.name);
        if (list === undefined) {
            lists.set(value.name, [value]);
        }
        else {
            list.push(value);
        }
    }
    return lists;
}
