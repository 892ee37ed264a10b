package umberrun.agreement;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import umberrun.agreement.Message.Accept;
import umberrun.agreement.Message.Accepted;
import umberrun.agreement.Message.Look;
import umberrun.agreement.Message.Looked;
import umberrun.agreement.Message.Prepare;
import umberrun.agreement.Message.Promised;
import umberrun.agreement.Message.Refused;

/**
 * One voter's memory of all registers (an acceptor of CASPaxos). Free of I/O: whoever carries it
 * writes what {@link #handle} changed, and syncs, <em>before</em> the answer leaves; after a crash
 * it begins with what was synced.
 */
public class Voter {
  /** What is remembered of a register. */
  public record Slot(Ballot promised, Ballot accepted, Value value) {
    static final Slot NONE = new Slot(Ballot.NONE, Ballot.NONE, Value.NONE);

    @Override
    public String toString() {
      return promised + " " + accepted + " " + value;
    }
  }

  /**
   * An answer, and what must be on disk, with all before it, before it leaves; {@code slot} null
   * where nothing has changed.
   */
  public record Step(Message answer, String register, Slot slot) {}

  private final Map<String, Slot> slots;
  private final int most;

  /**
   * @param synced what was on disk
   * @param most registers: a vote on a further one is refused
   */
  public Voter(Map<String, Slot> synced, int most) {
    this.slots = new TreeMap<>(synced);
    this.most = most;
  }

  /** Answers a proposer. Null where it is not answered: a register too many, a value too long. */
  public Step handle(Message m) {
    if (m instanceof Look l) {
      Slot s = slots.getOrDefault(l.register(), Slot.NONE);
      return new Step(new Looked(l.op(), s.accepted, s.value), l.register(), null);
    }
    if (m instanceof Prepare p) {
      Slot s = slots.getOrDefault(p.register(), Slot.NONE);
      if (p.ballot().compareTo(s.promised) <= 0) {
        return new Step(new Refused(p.op(), s.promised), p.register(), null);
      }
      return store(
          p.register(),
          new Slot(p.ballot(), s.accepted, s.value),
          new Promised(p.op(), s.accepted, s.value));
    }
    if (m instanceof Accept a && a.value().isShort()) {
      Slot s = slots.getOrDefault(a.register(), Slot.NONE);
      if (a.ballot().compareTo(s.promised) < 0) {
        return new Step(new Refused(a.op(), s.promised), a.register(), null);
      }
      return store(a.register(), new Slot(a.ballot(), a.ballot(), a.value()), new Accepted(a.op()));
    }
    return null;
  }

  private Step store(String register, Slot slot, Message answer) {
    if (!slots.containsKey(register) && slots.size() >= most) {
      return null;
    }
    slots.put(register, slot);
    return new Step(answer, register, slot);
  }

  /** All that it remembers. */
  public Map<String, Slot> slots() {
    return Collections.unmodifiableMap(slots);
  }
}
