package umberrun.consensus.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import umberrun.consensus.Ballot;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.EpochVoter;
import umberrun.consensus.Proposer;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.Voter;
import umberrun.consensus.VoterReplacement;
import umberrun.consensus.VoterSet;
import umberrun.sim.VirtualNetwork;

/**
 * Hosts that vote, append marks to registers and replace each other as voters, on the virtual
 * network. After each change the history is checked: what was done for one is seen by all that
 * begins later.
 */
public final class RegisterSimulation {
  /** Makes the machines; tests put in ones that are broken on purpose. */
  public interface Factory {
    default EpochVoter seat(Map<String, Voter.Slot> synced) {
      return new EpochVoter(synced, MOST_REGISTERS);
    }

    default VoterReplacement succession(
        VoterSet known, String comes, String leaves, long until, VoterReplacement.Outbox out) {
      return new VoterReplacement(known, comes, leaves, until, out);
    }
  }

  /** A check that does not hold. */
  public static final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvariantViolation(String message) {
      super(message);
    }
  }

  private static final Voter.Slot NOTHING =
      new Voter.Slot(Ballot.NONE, Ballot.NONE, RegisterValue.NONE);
  private static final int MOST_REGISTERS = 16;
  private static final long TRY_MICROS = 300_000;
  private static final long CHANGE_MICROS = 2_000_000;
  private static final long COMMAND_MICROS = 20_000_000;
  private static final long SYNC_MICROS = 30_000;
  private static final int MOST_MARKS = 400;
  private static final List<String> REGISTERS = List.of("a", "b");

  /** A host's proposer and what waits for it. */
  private final class Way implements Proposer.Outbox {
    private record Asked(
        String register, Proposer.Change change, long until, Consumer<RegisterValue> then) {}

    final Host host;
    final int number;
    Proposer proposer;
    private final Deque<Asked> queue = new ArrayDeque<>();
    private VirtualNetwork.ScheduledTask wait;

    Way(Host host, int number) {
      this.host = host;
      this.number = number;
    }

    void begin() {
      queue.clear();
      proposer =
          new Proposer(
              name(host.number) + "/" + random.nextInt(1 << 30),
              host.known.keys(),
              TRY_MICROS,
              random.split(),
              this);
    }

    /** A change of null is a read. */
    void submit(String register, Proposer.Change change, long until, Consumer<RegisterValue> then) {
      queue.add(new Asked(register, change, until, then));
      if (queue.size() == 1) {
        next();
      }
    }

    private void next() {
      Asked a = queue.peek();
      if (a != null && a.change == null) {
        proposer.read(net.now(), a.register, a.until);
      } else if (a != null) {
        proposer.submit(net.now(), a.register, a.change, a.until);
      }
    }

    @Override
    public void send(String voter, ConsensusMessage m) {
      host.send(voter, m, number);
    }

    @Override
    public void retry(long at) {
      if (wait != null) {
        wait.cancel();
      }
      int mine = host.life;
      wait =
          net.at(
              host.number,
              at,
              () -> {
                if (host.life == mine) {
                  proposer.onTimer(net.now());
                }
              });
    }

    @Override
    public void done(RegisterValue v) {
      Asked a = queue.poll();
      next();
      a.then.accept(v);
    }
  }

  private final class Host {
    final int number;
    String key;
    final Map<String, Voter.Slot> disk = new TreeMap<>();
    final Map<String, Voter.Slot> unsynced = new TreeMap<>();
    EpochVoter seat;
    VoterSet known;
    int life;
    final Way client = new Way(this, 0);
    final Way admin = new Way(this, 1);
    VoterReplacement command;
    VirtualNetwork.ScheduledTask commandWake;

    Host(int number, VoterSet known) {
      this.number = number;
      this.known = known;
      this.key = name(number) + "#0";
      begin();
    }

    void begin() {
      life++;
      net.discardPending(number);
      client.begin();
      admin.begin();
      command = null;
      seat = key == null ? null : maker.seat(disk);
    }

    /** What was written and not synced is lost; so is the folder, where it is. */
    void crash(boolean folderToo) {
      unsynced.clear();
      if (folderToo) {
        disk.clear();
        key = null;
      }
      begin();
    }

    void adopt(VoterSet v) {
      if (v.epoch() > known.epoch()) {
        known = v;
        client.proposer.setVoters(net.now(), v.keys());
        admin.proposer.setVoters(net.now(), v.keys());
      }
    }

    void ask(String asked, long epoch, ConsensusMessage m, Host from, int way, int asking) {
      if (seat == null || !asked.equals(key)) {
        return; // of a folder that is lost
      }
      Voter.VoteResult step = seat.handle(epoch, m);
      if (step == null) {
        return;
      }
      if (step.slot() != null) {
        unsynced.put(step.register(), step.slot());
      }
      int mine = life;
      // A look shows what may not be on disk yet, and waits for it too.
      net.at(
          number,
          net.now() + (unsynced.isEmpty() ? 0 : random.nextLong(SYNC_MICROS)),
          () -> {
            if (life == mine) {
              disk.putAll(unsynced);
              unsynced.clear();
              net.send(number, from.number, () -> from.hear(asked, step.answer(), way, asking));
            }
          });
    }

    void hear(String voter, ConsensusMessage m, int way, int asking) {
      if (asking != life) {
        return; // to a process that is no more: its numbers are used again
      }
      if (m instanceof ConsensusMessage.Outdated o) {
        adopt(o.voters());
      }
      if (m instanceof ConsensusMessage.UnknownEpoch && known.epoch() > 0) {
        send(voter, new ConsensusMessage.Install(0, known), 2);
      } else if (way == 2 && command != null) {
        command.receive(net.now(), voter, m);
      } else if (way < 2) {
        (way == 0 ? client : admin).proposer.receive(net.now(), voter, m);
      }
    }

    void send(String voter, ConsensusMessage m, int way) {
      int to = Integer.parseInt(VoterSet.nameOf(voter).substring(1));
      long epoch = known.epoch();
      int asking = life;
      net.send(number, to, () -> hosts[to].ask(voter, epoch, m, this, way, asking));
    }

    /** Has a voter replaced by what this host names. */
    void command(String comes, String leaves) {
      command =
          maker.succession(
              known,
              comes,
              leaves,
              net.now() + COMMAND_MICROS,
              new VoterReplacement.Outbox() {
                @Override
                public void send(String voter, ConsensusMessage m) {
                  Host.this.send(voter, m, 2);
                }

                @Override
                public void propose(String register, Proposer.Change change, long until) {
                  VoterReplacement self = command;
                  admin.submit(
                      register,
                      change,
                      until,
                      v -> {
                        if (self == command) {
                          self.onRegisterResult(net.now(), v);
                        }
                      });
                }

                @Override
                public void adopt(VoterSet v) {
                  Host.this.adopt(v);
                }

                @Override
                public void startTimer(long at) {
                  int mine = life;
                  VoterReplacement self = command;
                  commandWake =
                      net.at(
                          number,
                          at,
                          () -> {
                            if (life == mine && self == command) {
                              self.onTimer(net.now());
                            }
                          });
                }

                @Override
                public void completed(String fault) {
                  replaced += fault == null ? 1 : 0;
                  command = null;
                }
              });
      command.start(net.now());
    }
  }

  private final VirtualNetwork net;
  private final SplittableRandom random;
  private final Factory maker;
  private final Host[] hosts;
  private final Map<String, List<String>> done = new TreeMap<>();
  private int marks;
  private int replaced;

  /**
   * @param voters of the hosts, the first ones
   */
  public RegisterSimulation(int hostCount, int voters, long seed, Factory maker) {
    this.random = new SplittableRandom(seed);
    this.net = new VirtualNetwork(hostCount, random.split());
    this.maker = maker;
    this.hosts = new Host[hostCount];
    net.setLinks(0, 0.02, 200, 5_000);
    REGISTERS.forEach(r -> done.put(r, new ArrayList<>()));
    VoterSet first =
        VoterSet.first(IntStream.range(0, voters).mapToObj(i -> name(i) + "#0").toList());
    for (int i = 0; i < hostCount; i++) {
      hosts[i] = new Host(i, first);
      if (i < voters) {
        Voter.VoteResult s = EpochVoter.initialSlot(first);
        hosts[i].disk.put(s.register(), s.slot());
        hosts[i].begin();
      } else {
        hosts[i].key = null;
        hosts[i].begin();
      }
      work(i);
    }
  }

  private static String name(int host) {
    return "h" + host;
  }

  public VirtualNetwork net() {
    return net;
  }

  public int hostCount() {
    return hosts.length;
  }

  /** Changes done, and voters replaced. */
  public int done() {
    return done.values().stream().mapToInt(List::size).sum();
  }

  public int replaced() {
    return replaced;
  }

  /** Each host changes and reads now and then. */
  private void work(int host) {
    net.at(
        net.now() + random.nextLong(400_000),
        () -> {
          Host h = hosts[host];
          if (!net.isPaused(host) && !h.client.proposer.isBusy()) {
            String register = REGISTERS.get(random.nextInt(REGISTERS.size()));
            List<String> before = List.copyOf(done.get(register));
            boolean reads = marks >= MOST_MARKS || random.nextInt(3) == 0;
            String mark = "," + (reads ? marks : marks++) + ",";
            Proposer.Change change =
                reads ? null : v -> v.text().contains(mark) ? v : v.withText(v.text() + mark);
            h.client.submit(
                register,
                change,
                net.now() + CHANGE_MICROS,
                v -> {
                  if (v != null) {
                    over(register, v.text(), before);
                  }
                });
          }
          work(host);
        });
  }

  private void over(String register, String text, List<String> before) {
    for (String b : before) {
      if (!text.startsWith(b)) {
        throw new InvariantViolation(
            "register "
                + register
                + ": '"
                + b
                + "' was done before '"
                + text
                + "' began, at "
                + net.now());
      }
    }
    for (String d : done.get(register)) {
      if (!text.startsWith(d) && !d.startsWith(text)) {
        throw new InvariantViolation(
            "register "
                + register
                + ": both '"
                + d
                + "' and '"
                + text
                + "' were done, at "
                + net.now());
      }
    }
    done.get(register).add(text);
  }

  /**
   * Kills a host and starts it again at once; with {@code folderToo}, what it had on disk is lost.
   */
  public void crash(int host, boolean folderToo) {
    hosts[host].crash(folderToo);
  }

  /**
   * An operator at one host has another take a seat with a new folder, in the place of the voter of
   * some host.
   */
  public void replace(int at, int comes, int leaves) {
    Host c = hosts[comes];
    String leaving = hosts[at].known.keyOf(name(leaves));
    if (leaving == null
        || hosts[at].command != null
        || c.seat != null && c.seat.mustKeepStore(c.key, hosts[at].known)) {
      return; // nobody leaves, or a command is under way, or it votes already
    }
    if (c.seat == null || c.seat.voters().epoch() > 0) {
      c.key = name(comes) + "#" + (1 + random.nextInt(1 << 30));
      c.disk.clear();
      c.unsynced.clear();
      c.begin();
    }
    hosts[at].command(c.key, leaving);
  }

  /** How many of those that vote, as the best informed host knows them, have lost their folders. */
  public int lost() {
    VoterSet v = newest();
    int lost = 0;
    for (String k : v.keys()) {
      lost += k.equals(hosts[Integer.parseInt(VoterSet.nameOf(k).substring(1))].key) ? 0 : 1;
    }
    return lost;
  }

  private VoterSet newest() {
    VoterSet v = hosts[0].known;
    for (Host h : hosts) {
      v = h.known.epoch() > v.epoch() ? h.known : v;
      for (VoterSet at :
          h.seat == null ? List.<VoterSet>of() : List.of(h.seat.voters(), written(h.seat))) {
        v = at.epoch() > v.epoch() ? at : v;
      }
    }
    return v;
  }

  /** The set that is being written, or was and nobody has taken yet. */
  private static VoterSet written(EpochVoter s) {
    return VoterSet.parse(s.slots().getOrDefault(VoterSet.REGISTER, NOTHING).value().text());
  }

  /** Hosts whose voters count now. */
  public List<Integer> voting() {
    return newest().keys().stream()
        .map(k -> Integer.parseInt(VoterSet.nameOf(k).substring(1)))
        .toList();
  }

  /**
   * Whether all that vote have taken the newest set, nothing is on the way, and nobody is about to
   * change it.
   */
  public boolean isSettled() {
    VoterSet v = newest();
    return Arrays.stream(hosts).allMatch(h -> h.command == null)
        && v.leaving().isEmpty()
        && voting().stream()
            .allMatch(i -> hosts[i].seat != null && hosts[i].seat.voters().equals(v));
  }

  /** Each host's key, the set that it knows and the one it has taken. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (Host h : hosts) {
      text.append(h.key)
          .append(" knows ")
          .append(h.known.text())
          .append(", took ")
          .append(
              h.seat == null
                  ? "none"
                  : h.seat.voters().text() + ", writes " + written(h.seat).text())
          .append(h.command == null ? "" : ", commands")
          .append('\n');
    }
    return text.toString();
  }

  public void run(long span) {
    net.run(net.now() + span);
  }
}
