import type { MemberRecord, MembershipState, PublishedValue } from "@filbertrelay/policy";
import { visibleState } from "@filbertrelay/policy";
import type { GossipValue, Member } from "../contract.js";

// Other services read members and values per request; the lists are made once per change of the table.
const memberLists = new WeakMap<MembershipState["members"], readonly Member[]>();
const valueLists = new WeakMap<MembershipState["values"], ReadonlyMap<string, readonly GossipValue[]>>();

/** Makes the view of a member for other services. */
export function viewMember(record: MemberRecord): Member {
    return { hostId: record.hostId, incarnation: record.incarnation, ...record.details, state: visibleState(record) };
}

/** All members of a state, this host and dead ones included. */
export function viewMembers(state: MembershipState): readonly Member[] {
    const known = memberLists.get(state.members);
    if (known !== undefined) {
        return known;
    }
    const list = [...state.members.values()].map(viewMember);
    memberLists.set(state.members, list);
    return list;
}

/** The values published under a name by members that are not dead. */
export function viewValues(state: MembershipState, name: string): readonly GossipValue[] {
    const known = valueLists.get(state.values);
    if (known !== undefined) {
        return known.get(name) ?? [];
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
