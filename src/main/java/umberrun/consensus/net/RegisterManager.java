package umberrun.consensus.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import umberrun.config.LeaseOptions;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.ConsensusMessage.Install;
import umberrun.consensus.ConsensusMessage.VoterDescription;
import umberrun.consensus.ConsensusMessage.VoterQuery;
import umberrun.consensus.Proposer;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.VoterBootstrap;
import umberrun.consensus.VoterReplacement;
import umberrun.consensus.VoterSet;
import umberrun.consensus.net.ConsensusCodec.Envelope;
import umberrun.core.Clock;
import umberrun.stats.Counters;

/**
 * The agreed registers in a front end: its voter where it is one, what asks for changes, and the
 * commands that found and replace voters. Carries the state machines of {@code umberrun.consensus}
 * on the one loop; what it sends goes by name.
 */
public final class RegisterManager {
  /** How bytes get to a front end, or not. */
  public interface Transport {
    void send(String name, byte[] body);

    /** Names of some that live, to ask who votes. */
    List<String> livingMembers();
  }

  private static final long TRY_MICROS = 300_000;
  private static final long FIRST_ASK_MILLIS = 100;
  private static final long LAST_ASK_MILLIS = 3_000;
  private static final long COMMAND_MICROS = 15_000_000;
  private static final long GO_ON_MILLIS = 10_000;
  private static final long MS = 1_000;
  private static final int MOST_WAITING = 256;

  /** Who asks, beside the ways. */
  private static final int FINDER = -1;

  private static final int COMMANDER = -2;

  /** A change (null: a read), what waits for it, and when it is given up. */
  private record Asked(
      String register, Proposer.Change change, long until, Consumer<RegisterValue> then) {}

  /**
   * One proposer and what waits for it: changes of one way are in order, those of several go on
   * side by side.
   */
  public final class RegisterClient implements Proposer.Outbox {
    private final int number;
    private final Proposer proposer;
    private final Deque<Asked> queue = new ArrayDeque<>();
    private long timer = -1;

    private RegisterClient(int number) {
      this.number = number;
      this.proposer =
          new Proposer(
              name + "/" + Long.toHexString(life) + "/" + number,
              known.keys(),
              TRY_MICROS,
              random.split(),
              this);
    }

    /** Reads a register; null where no majority answered until then. */
    public void read(String register, long until, Consumer<RegisterValue> then) {
      add(new Asked(register, null, until, then));
    }

    /** Changes a register; null where it is not known whether that was done. */
    public void change(
        String register, Proposer.Change change, long until, Consumer<RegisterValue> then) {
      add(new Asked(register, change, until, then));
    }

    private void add(Asked a) {
      if (queue.size() >= MOST_WAITING) { // guards the memory while no majority answers
        vertx.runOnContext(v -> a.then.accept(null));
        return;
      }
      queue.add(a);
      if (queue.size() == 1) {
        next();
      }
    }

    private void next() {
      Asked a = queue.peek();
      long now = clock.now();
      if (a != null && a.change == null) {
        proposer.read(now, a.register, a.until);
      } else if (a != null) {
        proposer.submit(now, a.register, a.change, a.until);
      }
    }

    @Override
    public void send(String voter, ConsensusMessage m) {
      ask(voter, number, m);
    }

    @Override
    public void retry(long at) {
      vertx.cancelTimer(timer);
      timer =
          vertx.setTimer(
              Math.max(1, (at - clock.now() + MS - 1) / MS), t -> proposer.onTimer(clock.now()));
    }

    @Override
    public void done(RegisterValue v) {
      vertx.cancelTimer(timer);
      Asked a = queue.poll();
      next();
      a.then.accept(v);
    }
  }

  private final Vertx vertx;
  private final Clock clock;
  private final LeaseOptions options;
  private final String name;
  private final Consumer<String> log;
  private final Transport post;
  private final SplittableRandom random;
  private final long life;
  private final LocalVoter desk;
  private final List<RegisterClient> ways = new ArrayList<>();
  private VoterSet known = VoterSet.UNKNOWN;
  private RegisterClient admin;
  private long asksEvery = FIRST_ASK_MILLIS;
  private boolean over;

  /** What an operator has ordered, one thing at a time, and how it ended. */
  private VoterBootstrap founding;

  private VoterReplacement succession;
  private String replacing;
  private String replaces;
  private long commandUntil;
  private long commandTimer = -1;
  private String lastFault;

  /**
   * @param name of this front end
   */
  public RegisterManager(
      Vertx vertx,
      Clock clock,
      LeaseOptions options,
      String fleet,
      String name,
      long life,
      Counters counters,
      Consumer<String> log,
      Transport post) {
    this.vertx = vertx;
    this.clock = clock;
    this.options = options;
    this.name = name;
    this.life = life;
    this.log = log;
    this.post = post;
    this.random = new SplittableRandom(life);
    this.desk =
        options.stateDir().isEmpty()
            ? null
            : new LocalVoter(
                vertx,
                java.nio.file.Path.of(options.stateDir()),
                fleet + "/" + name,
                counters,
                log);
    this.admin = newClient();
  }

  /** Opens the folder, where there is one, and begins to look for who votes. */
  public Future<Void> open() {
    Future<Void> opened = desk == null ? Future.succeededFuture() : desk.open();
    return opened.onComplete(
        v -> {
          if (desk != null) {
            adopt(desk.taken());
          }
          look();
          goOn();
        });
  }

  /** A further way. */
  public RegisterClient newClient() {
    RegisterClient w = new RegisterClient(ways.size());
    ways.add(w);
    return w;
  }

  /** Who votes, as far as this front end knows. */
  public VoterSet voters() {
    return known;
  }

  /** Whether this front end has a say. */
  public boolean isVoter() {
    return desk != null && known.keys().contains(desk.key());
  }

  /** Asks who votes until that is known, seldomer and seldomer. */
  private void look() {
    if (over || known.epoch() > 0) {
      return;
    }
    List<String> asked = new ArrayList<>(options.voters());
    asked.addAll(post.livingMembers());
    for (String other : asked) {
      if (!other.equals(name)) {
        send(
            other,
            new Envelope(
                false, 0, "", life, FINDER, new VoterQuery(0, false, VoterSet.UNKNOWN, List.of())));
      }
    }
    vertx.setTimer(asksEvery / 2 + random.nextLong(asksEvery), t -> look());
    asksEvery = Math.min(LAST_ASK_MILLIS, 2 * asksEvery);
  }

  /** A replacement whose command died is gone on with by whoever votes and sees it for a while. */
  private void goOn() {
    long seen = known.epoch();
    vertx.setTimer(
        GO_ON_MILLIS / 2 + random.nextLong(GO_ON_MILLIS),
        t -> {
          if (!over) {
            if (!known.leaving().isEmpty() && known.epoch() == seen && isVoter() && !isBusy()) {
              log.accept("leases: goes on with the replacement of " + known.leaving());
              replaceVoter("", "");
            }
            goOn();
          }
        });
  }

  private void adopt(VoterSet v) {
    if (v.epoch() > known.epoch()) {
      known = v;
      log.accept(
          "leases: voters are "
              + v.keys()
              + ", epoch "
              + v.epoch()
              + (v.leaving().isEmpty() ? "" : ", leaving " + v.leaving()));
      long now = clock.now();
      ways.forEach(w -> w.proposer.setVoters(now, v.keys()));
    }
  }

  /** No more is asked or answered; done once the folder can be had by another process. */
  public Future<Void> close() {
    over = true;
    return desk == null ? Future.succeededFuture() : desk.close();
  }

  // ---------------------------------------------------------------- what goes out and comes in

  private void ask(String voter, int asker, ConsensusMessage m) {
    send(VoterSet.nameOf(voter), new Envelope(false, known.epoch(), voter, life, asker, m));
  }

  private void send(String to, Envelope e) {
    if (!over) {
      post.send(to, ConsensusCodec.write(e));
    }
  }

  /**
   * Takes in what a front end sent; fails with {@link IllegalArgumentException} where it can't be
   * read.
   */
  public void receive(String from, byte[] body) {
    Envelope e = ConsensusCodec.read(body);
    if (over) {
      return;
    }
    if (e.answer()) {
      if (e.life() == life) {
        answered(from, e);
      }
    } else if (e.message() instanceof VoterQuery a) {
      seat(a, s -> send(from, new Envelope(true, 0, "", e.life(), e.asker(), s)));
    } else if (desk != null) {
      desk.ask(
          e.voter(),
          e.epoch(),
          e.message(),
          m -> {
            if (e.message() instanceof Install) {
              adopt(desk.taken());
            }
            send(from, new Envelope(true, e.epoch(), e.voter(), e.life(), e.asker(), m));
          });
    }
  }

  private void answered(String from, Envelope e) {
    long now = clock.now();
    ConsensusMessage m = e.message();
    if (m instanceof ConsensusMessage.Outdated o) {
      adopt(o.voters());
    } else if (m instanceof VoterDescription s) {
      adopt(s.known());
    } else if (m instanceof ConsensusMessage.UnknownEpoch && known.epoch() > 0) {
      ask(e.voter(), e.asker(), new Install(-1, known));
      return;
    }
    if (e.asker() >= 0 && e.asker() < ways.size()) {
      ways.get(e.asker()).proposer.receive(now, e.voter(), m);
    } else if (e.asker() == COMMANDER && founding != null) {
      founding.receive(now, from, m);
    } else if (e.asker() == COMMANDER && succession != null) {
      succession.receive(now, e.voter(), m);
    } else if (e.asker() == COMMANDER && replacing != null && m instanceof VoterDescription s) {
      seated(s);
    }
  }

  /** Answers for this front end's own place among the voters. */
  private void seat(VoterQuery a, Consumer<VoterDescription> answer) {
    if (desk == null) {
      answer.accept(new VoterDescription(a.op(), "", known, "its file names no state_dir"));
      return;
    }
    boolean foreign =
        !a.names().isEmpty() && !a.names().equals(options.voters().stream().sorted().toList());
    boolean kept = !desk.key().isEmpty() && (desk.taken().epoch() == 0 || desk.holdsOn(a.asOf()));
    boolean damaged = !a.names().isEmpty() && desk.isDamaged(); // in a founding: it may have voted
    if (!a.make() || foreign || kept || damaged) {
      answer.accept(
          new VoterDescription(
              a.op(),
              desk.key(),
              known,
              foreign
                  ? "its file names other voters"
                  : damaged
                      ? desk.fault()
                      : a.make() && desk.holdsOn(a.asOf())
                          ? "votes already as " + desk.key()
                          : ""));
      return;
    }
    log.accept("leases: a new folder is made for the voter " + name);
    desk.make(random.nextLong() >>> 1)
        .onComplete(
            v -> answer.accept(new VoterDescription(a.op(), desk.key(), known, desk.fault())));
  }

  // ---------------------------------------------------------------- what operators order

  private boolean isBusy() {
    return founding != null || succession != null || replacing != null;
  }

  private void begin() {
    if (isBusy()) {
      throw new IllegalStateException("another command is under way here");
    }
    lastFault = null;
    commandUntil = clock.now() + COMMAND_MICROS;
  }

  private void wake(long at, Runnable what) {
    vertx.cancelTimer(commandTimer);
    commandTimer = vertx.setTimer(Math.max(1, (at - clock.now() + MS - 1) / MS), t -> what.run());
  }

  private void ended(String fault) {
    vertx.cancelTimer(commandTimer);
    founding = null;
    succession = null;
    replacing = null;
    lastFault = fault;
    log.accept(
        "leases: " + (fault == null ? "the voters are as was wanted" : "not done: " + fault));
  }

  /** Founds the first set, of those that the operator's file names. */
  public void bootstrapVoters() {
    begin();
    founding =
        new VoterBootstrap(
            options.voters(),
            commandUntil,
            new VoterBootstrap.Outbox() {
              @Override
              public void send(String to, ConsensusMessage m) {
                String key = m instanceof Install ? founding.keyOf(to) : "";
                RegisterManager.this.send(to, new Envelope(false, 0, key, life, COMMANDER, m));
              }

              @Override
              public void startTimer(long at) {
                VoterBootstrap self = founding;
                RegisterManager.this.wake(at, () -> self.onTimer(clock.now()));
              }

              @Override
              public void completed(VoterSet founded, String fault) {
                if (founded != null) {
                  adopt(founded);
                }
                ended(fault);
              }
            });
    founding.start(clock.now());
  }

  /**
   * Has a front end vote in the place of another, or in its own with a new folder; empty names go
   * on with what was begun.
   */
  public void replaceVoter(String leaves, String comes) {
    begin();
    if (known.epoch() == 0) {
      throw new IllegalStateException("it is not known yet who votes");
    }
    if (comes.isEmpty()) {
      succeed("", "");
      return;
    }
    if (known.keyOf(leaves) == null) {
      throw new IllegalStateException(leaves + " does not vote");
    }
    if (known.keyOf(comes) != null && !comes.equals(leaves)) {
      throw new IllegalStateException(comes + " votes already");
    }
    replacing = comes;
    replaces = leaves;
    askNewcomer();
  }

  private void askNewcomer() {
    if (clock.now() >= commandUntil) {
      ended(replacing + " does not answer");
      return;
    }
    send(
        replacing,
        new Envelope(
            false, 0, "", life, COMMANDER, new VoterQuery(commandUntil, true, known, List.of())));
    wake(clock.now() + TRY_MICROS, this::askNewcomer);
  }

  private void seated(VoterDescription s) {
    if (s.op() != commandUntil) {
      return; // to an earlier command
    }
    String leaving = known.keyOf(replaces);
    if (s.key().isEmpty() || !s.fault().isEmpty() || leaving == null || leaving.equals(s.key())) {
      ended(replacing + ": " + (s.fault().isEmpty() ? "has no folder" : s.fault()));
      return;
    }
    replacing = null;
    succeed(s.key(), leaving);
  }

  private void succeed(String comes, String leaves) {
    VoterReplacement[] self = new VoterReplacement[1];
    self[0] =
        new VoterReplacement(
            known,
            comes,
            leaves,
            commandUntil,
            new VoterReplacement.Outbox() {
              @Override
              public void send(String voter, ConsensusMessage m) {
                ask(voter, COMMANDER, m);
              }

              @Override
              public void propose(String register, Proposer.Change change, long until) {
                admin.change(
                    register,
                    change,
                    until,
                    v -> {
                      if (succession == self[0]) {
                        self[0].onRegisterResult(clock.now(), v);
                      }
                    });
              }

              @Override
              public void adopt(VoterSet v) {
                RegisterManager.this.adopt(v);
              }

              @Override
              public void startTimer(long at) {
                RegisterManager.this.wake(at, () -> self[0].onTimer(clock.now()));
              }

              @Override
              public void completed(String fault) {
                ended(fault);
              }
            });
    succession = self[0];
    succession.start(clock.now());
  }

  /** Who votes, this front end's own part, and how the last command ended. */
  public JsonObject status() {
    JsonObject o = new JsonObject();
    o.addProperty("epoch", known.epoch());
    JsonArray keys = new JsonArray();
    known.keys().forEach(keys::add);
    o.add("voters", keys);
    o.addProperty("leaving", known.leaving());
    o.addProperty("key", desk == null ? "" : desk.key());
    o.addProperty("why_not", desk == null ? "" : desk.fault());
    o.addProperty("registers", desk == null ? 0 : desk.registers());
    o.addProperty("busy", isBusy());
    if (lastFault != null) {
      o.addProperty("not_done", lastFault);
    }
    return o;
  }
}
