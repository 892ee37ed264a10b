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
 * Simulates hosts that vote, append marks to registers and replace each other as voters, on a
 * virtual network. It checks after each operation that completed changes are seen by all operations
 * that started later.
 */
public final class RegisterSimulation {
  /** Creates the state machines. Tests override it with faulty ones. */
  public interface Factory {
    /** Creates a voter from the slots on its disk. */
    default EpochVoter newVoter(Map<String, Voter.Slot> stored) {
      return new EpochVoter(stored, MAX_REGISTERS);
    }

    /** Creates a replacement, with the parameters of {@link VoterReplacement}. */
    default VoterReplacement newReplacement(
        VoterSet knownVoters,
        String newcomer,
        String leaver,
        long deadline,
        VoterReplacement.Outbox out) {
      return new VoterReplacement(knownVoters, newcomer, leaver, deadline, out);
    }
  }

  /** An invariant does not hold. */
  public static final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvariantViolation(String message) {
      super(message);
    }
  }

  private static final Voter.Slot EMPTY_SLOT =
      new Voter.Slot(Ballot.NONE, Ballot.NONE, RegisterValue.NONE);
  private static final int MAX_REGISTERS = 16;
  private static final long REQUEST_TIMEOUT_MICROS = 300_000;
  private static final long CHANGE_TIMEOUT_MICROS = 2_000_000;
  private static final long COMMAND_TIMEOUT_MICROS = 20_000_000;
  private static final long MAX_SYNC_MICROS = 30_000;

  /** Number of marks after which hosts only read, which bounds the size of the registers. */
  private static final int MAX_MARKS = 400;

  /** Requester numbers: the two clients of a host, and its replacement. */
  private static final int WORK_CLIENT = 0;

  private static final int COMMAND_CLIENT = 1;
  private static final int REPLACEMENT = 2;

  private static final List<String> REGISTERS = List.of("a", "b");

  /** A proposer of a host, with a queue. */
  private final class RegisterClient implements Proposer.Outbox {
    private record Operation(
        String register, Proposer.Change change, long deadline, Consumer<RegisterValue> onResult) {}

    final Host host;
    final int number;
    Proposer proposer;
    private final Deque<Operation> queue = new ArrayDeque<>();
    private VirtualNetwork.ScheduledTask timer;

    RegisterClient(Host host, int number) {
      this.host = host;
      this.number = number;
    }

    void start() {
      queue.clear();
      proposer =
          new Proposer(
              name(host.number) + "/" + random.nextInt(1 << 30),
              host.knownVoters.keys(),
              REQUEST_TIMEOUT_MICROS,
              random.split(),
              this);
    }

    /** Queues a change, or a read if {@code change} is null. */
    void submit(
        String register, Proposer.Change change, long deadline, Consumer<RegisterValue> onResult) {
      queue.add(new Operation(register, change, deadline, onResult));
      if (queue.size() == 1) {
        next();
      }
    }

    private void next() {
      Operation operation = queue.peek();
      if (operation != null && operation.change == null) {
        proposer.read(net.now(), operation.register, operation.deadline);
      } else if (operation != null) {
        proposer.submit(net.now(), operation.register, operation.change, operation.deadline);
      }
    }

    @Override
    public void send(String voter, ConsensusMessage message) {
      host.send(voter, message, number);
    }

    @Override
    public void startRetryTimer(long at) {
      if (timer != null) {
        timer.cancel();
      }
      int startedAt = host.startCount;
      timer =
          net.at(
              host.number,
              at,
              () -> {
                if (host.startCount == startedAt) {
                  proposer.onTimer(net.now());
                }
              });
    }

    @Override
    public void completed(RegisterValue value) {
      Operation operation = queue.poll();
      next();
      operation.onResult.accept(value);
    }
  }

  /** A host: a voter with its disk if it has a store, two clients, and an operator command. */
  private final class Host {
    final int number;

    /** Null while the host has no store; it does not vote then. */
    String key;

    final Map<String, Voter.Slot> storedSlots = new TreeMap<>();
    final Map<String, Voter.Slot> unsyncedSlots = new TreeMap<>();
    EpochVoter voter;
    VoterSet knownVoters;
    int startCount;
    final RegisterClient workClient = new RegisterClient(this, WORK_CLIENT);
    final RegisterClient commandClient = new RegisterClient(this, COMMAND_CLIENT);
    VoterReplacement replacement;
    VirtualNetwork.ScheduledTask replacementTimer;

    Host(int number, VoterSet knownVoters) {
      this.number = number;
      this.knownVoters = knownVoters;
      this.key = name(number) + "#0";
      start();
    }

    void start() {
      startCount++;
      net.discardPending(number);
      workClient.start();
      commandClient.start();
      replacement = null;
      voter = key == null ? null : factory.newVoter(storedSlots);
    }

    /**
     * Restarts the host. Changes that are not synced are lost, and on request the store as well.
     */
    void crash(boolean loseStore) {
      unsyncedSlots.clear();
      if (loseStore) {
        storedSlots.clear();
        key = null;
      }
      start();
    }

    void adopt(VoterSet voters) {
      if (voters.epoch() > knownVoters.epoch()) {
        knownVoters = voters;
        workClient.proposer.setVoters(net.now(), voters.keys());
        commandClient.proposer.setVoters(net.now(), voters.keys());
      }
    }

    void handle(
        String requestedKey,
        long epoch,
        ConsensusMessage message,
        Host from,
        int requester,
        int requesterStart) {
      if (voter == null || !requestedKey.equals(key)) {
        return; // addressed to the voter of a store that is lost
      }
      Voter.VoteResult result = voter.handle(epoch, message);
      if (result == null) {
        return;
      }
      if (result.slot() != null) {
        unsyncedSlots.put(result.register(), result.slot());
      }
      int startedAt = startCount;
      // A read may show changes that are not on disk yet, so its response waits for the sync too.
      net.at(
          number,
          net.now() + (unsyncedSlots.isEmpty() ? 0 : random.nextLong(MAX_SYNC_MICROS)),
          () -> {
            if (startCount == startedAt) {
              storedSlots.putAll(unsyncedSlots);
              unsyncedSlots.clear();
              net.send(
                  number,
                  from.number,
                  () -> from.receive(requestedKey, result.answer(), requester, requesterStart));
            }
          });
    }

    void receive(String voter, ConsensusMessage message, int requester, int requesterStart) {
      if (requesterStart != startCount) {
        return; // meant for the process before the restart, whose attempt numbers are used again
      }
      if (message instanceof ConsensusMessage.Outdated outdated) {
        adopt(outdated.voters());
      }
      if (message instanceof ConsensusMessage.UnknownEpoch && knownVoters.epoch() > 0) {
        send(voter, new ConsensusMessage.Install(0, knownVoters), REPLACEMENT);
      } else if (requester == REPLACEMENT && replacement != null) {
        replacement.receive(net.now(), voter, message);
      } else if (requester < REPLACEMENT) {
        (requester == WORK_CLIENT ? workClient : commandClient)
            .proposer.receive(net.now(), voter, message);
      }
    }

    void send(String voter, ConsensusMessage message, int requester) {
      int to = Integer.parseInt(VoterSet.nameOf(voter).substring(1));
      long epoch = knownVoters.epoch();
      int requesterStart = startCount;
      net.send(
          number,
          to,
          () -> hosts[to].handle(voter, epoch, message, this, requester, requesterStart));
    }

    /** Starts the replacement of one voter by another. */
    void startReplacement(String newcomer, String leaver) {
      replacement =
          factory.newReplacement(
              knownVoters,
              newcomer,
              leaver,
              net.now() + COMMAND_TIMEOUT_MICROS,
              new VoterReplacement.Outbox() {
                @Override
                public void send(String voter, ConsensusMessage message) {
                  Host.this.send(voter, message, REPLACEMENT);
                }

                @Override
                public void propose(String register, Proposer.Change change, long deadline) {
                  VoterReplacement started = replacement;
                  commandClient.submit(
                      register,
                      change,
                      deadline,
                      value -> {
                        if (started == replacement) {
                          started.onRegisterResult(net.now(), value);
                        }
                      });
                }

                @Override
                public void adopt(VoterSet voters) {
                  Host.this.adopt(voters);
                }

                @Override
                public void startTimer(long at) {
                  int startedAt = startCount;
                  VoterReplacement started = replacement;
                  replacementTimer =
                      net.at(
                          number,
                          at,
                          () -> {
                            if (startCount == startedAt && started == replacement) {
                              started.onTimer(net.now());
                            }
                          });
                }

                @Override
                public void completed(String fault) {
                  replacementCount += fault == null ? 1 : 0;
                  replacement = null;
                }
              });
      replacement.start(net.now());
    }
  }

  private final VirtualNetwork net;
  private final SplittableRandom random;
  private final Factory factory;
  private final Host[] hosts;
  private final Map<String, List<String>> completedResults = new TreeMap<>();
  private int markCount;
  private int replacementCount;

  /**
   * @param voters number of hosts that vote at first, those with the lowest numbers
   * @param seed determines the whole execution
   * @param factory creates the state machines
   */
  public RegisterSimulation(int hostCount, int voters, long seed, Factory factory) {
    this.random = new SplittableRandom(seed);
    this.net = new VirtualNetwork(hostCount, random.split());
    this.factory = factory;
    this.hosts = new Host[hostCount];
    net.setLinks(0, 0.02, 200, 5_000);
    REGISTERS.forEach(r -> completedResults.put(r, new ArrayList<>()));
    VoterSet first =
        VoterSet.first(IntStream.range(0, voters).mapToObj(i -> name(i) + "#0").toList());
    for (int i = 0; i < hostCount; i++) {
      hosts[i] = new Host(i, first);
      if (i < voters) {
        Voter.VoteResult initial = EpochVoter.initialSlot(first);
        hosts[i].storedSlots.put(initial.register(), initial.slot());
        hosts[i].start();
      } else {
        hosts[i].key = null;
        hosts[i].start();
      }
      scheduleWork(i);
    }
  }

  private static String name(int host) {
    return "h" + host;
  }

  /** The network, whose nodes are the hosts. */
  public VirtualNetwork net() {
    return net;
  }

  /** Number of hosts. */
  public int hostCount() {
    return hosts.length;
  }

  /** Number of completed changes and reads. */
  public int completedCount() {
    return completedResults.values().stream().mapToInt(List::size).sum();
  }

  /** Number of successful replacements of voters. */
  public int replacementCount() {
    return replacementCount;
  }

  /** Has a host read or change a register at random times. */
  private void scheduleWork(int hostNumber) {
    net.at(
        net.now() + random.nextLong(400_000),
        () -> {
          Host host = hosts[hostNumber];
          if (!net.isPaused(hostNumber) && !host.workClient.proposer.isBusy()) {
            String register = REGISTERS.get(random.nextInt(REGISTERS.size()));
            List<String> earlierResults = List.copyOf(completedResults.get(register));
            boolean reads = markCount >= MAX_MARKS || random.nextInt(3) == 0;
            String mark = "," + (reads ? markCount : markCount++) + ",";
            Proposer.Change change =
                reads
                    ? null
                    : value ->
                        value.text().contains(mark) ? value : value.withText(value.text() + mark);
            host.workClient.submit(
                register,
                change,
                net.now() + CHANGE_TIMEOUT_MICROS,
                value -> {
                  if (value != null) {
                    checkResult(register, value.text(), earlierResults);
                  }
                });
          }
          scheduleWork(hostNumber);
        });
  }

  private void checkResult(String register, String text, List<String> earlierResults) {
    for (String earlier : earlierResults) {
      if (!text.startsWith(earlier)) {
        throw new InvariantViolation(
            "register "
                + register
                + ": '"
                + earlier
                + "' was complete before '"
                + text
                + "' was started, at "
                + net.now());
      }
    }
    for (String other : completedResults.get(register)) {
      if (!text.startsWith(other) && !other.startsWith(text)) {
        throw new InvariantViolation(
            "register "
                + register
                + ": both '"
                + other
                + "' and '"
                + text
                + "' were completed, at "
                + net.now());
      }
    }
    completedResults.get(register).add(text);
  }

  /**
   * Kills a host and restarts it at once.
   *
   * @param loseStore whether it loses the contents of its disk
   */
  public void crash(int host, boolean loseStore) {
    hosts[host].crash(loseStore);
  }

  /**
   * An operator command that replaces a voter, unless it is not possible now.
   *
   * @param at the host that runs the command
   * @param newcomer the host that gets a new store and votes
   * @param leaver the host whose voter leaves
   */
  public void replace(int at, int newcomer, int leaver) {
    Host newcomerHost = hosts[newcomer];
    String leaving = hosts[at].knownVoters.keyOf(name(leaver));
    if (leaving == null
        || hosts[at].replacement != null
        || newcomerHost.voter != null
            && newcomerHost.voter.mustKeepStore(newcomerHost.key, hosts[at].knownVoters)) {
      return; // the host does not vote, a command is in progress, or the newcomer votes already
    }
    if (newcomerHost.voter == null || newcomerHost.voter.voters().epoch() > 0) {
      newcomerHost.key = name(newcomer) + "#" + (1 + random.nextInt(1 << 30));
      newcomerHost.storedSlots.clear();
      newcomerHost.unsyncedSlots.clear();
      newcomerHost.start();
    }
    hosts[at].startReplacement(newcomerHost.key, leaving);
  }

  /** Number of voters in the newest set that have lost their stores. */
  public int lostStoreCount() {
    VoterSet newest = newestSet();
    int lostStores = 0;
    for (String key : newest.keys()) {
      lostStores +=
          key.equals(hosts[Integer.parseInt(VoterSet.nameOf(key).substring(1))].key) ? 0 : 1;
    }
    return lostStores;
  }

  /** The newest set that any host knows, has installed or holds in the register. */
  private VoterSet newestSet() {
    VoterSet newest = hosts[0].knownVoters;
    for (Host host : hosts) {
      newest = host.knownVoters.epoch() > newest.epoch() ? host.knownVoters : newest;
      for (VoterSet candidate :
          host.voter == null
              ? List.<VoterSet>of()
              : List.of(host.voter.voters(), setInRegister(host.voter))) {
        newest = candidate.epoch() > newest.epoch() ? candidate : newest;
      }
    }
    return newest;
  }

  /** The set that a voter holds in the register, which may not be installed yet. */
  private static VoterSet setInRegister(EpochVoter voter) {
    return VoterSet.parse(voter.slots().getOrDefault(VoterSet.REGISTER, EMPTY_SLOT).value().text());
  }

  /** The hosts in the newest set. */
  public List<Integer> votingHosts() {
    return newestSet().keys().stream()
        .map(k -> Integer.parseInt(VoterSet.nameOf(k).substring(1)))
        .toList();
  }

  /**
   * Whether all voters have installed the newest set, no voter is about to leave, and no command
   * runs.
   */
  public boolean isSettled() {
    VoterSet newest = newestSet();
    return Arrays.stream(hosts).allMatch(host -> host.replacement == null)
        && newest.leaving().isEmpty()
        && votingHosts().stream()
            .allMatch(i -> hosts[i].voter != null && hosts[i].voter.voters().equals(newest));
  }

  /** Each host's key, the set that it knows and the one that it has installed. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (Host host : hosts) {
      text.append(host.key)
          .append(" knows ")
          .append(host.knownVoters.text())
          .append(", installed ")
          .append(
              host.voter == null
                  ? "none"
                  : host.voter.voters().text()
                      + ", register holds "
                      + setInRegister(host.voter).text())
          .append(host.replacement == null ? "" : ", runs a command")
          .append('\n');
    }
    return text.toString();
  }

  /** Runs the simulation for a span of time, in microseconds. */
  public void run(long span) {
    net.run(net.now() + span);
  }
}
