//! Actors on threads of their own, and handles to them from blocking tasks.
//!
//! A [`Host`] runs one `stakker` main loop with one actor in it. Tasks that block, one for each
//! connection and each peer, hold a [`Remote`] and run closures on the actor with it, so shared
//! state needs no locks and code in a task reads straight down.

use {
    crate::{
        runtime, task,
        verdict::{Cause, Failure},
    },
    stakker::{ActorOwn, Cx, Fwd, LogID, Stakker, ret_nop, sync::Channel},
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
            mpsc::{self, SyncSender},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::timeout},
};

/// The longest sleep of a main loop without any timer.
const MAX_IDLE: Duration = Duration::from_secs(10);

type Job<A> = Box<dyn FnOnce(&mut A, &mut Cx<'_, A>) + Send>;

/// A handle to an actor on another thread.
pub struct ActorRef<A: 'static> {
    channel: Channel<Job<A>>,
}

impl<A: 'static> Clone for ActorRef<A> {
    fn clone(&self) -> Self {
        ActorRef {
            channel: self.channel.clone(),
        }
    }
}

/// The way back for one answer that an actor may give later.
pub struct Responder<R> {
    sender: oneshot::Sender<R>,
}

impl<R> Responder<R> {
    /// A way back and its far end, for those who are on the actor's thread themselves.
    pub fn channel() -> (Self, oneshot::Receiver<R>) {
        let (sender, receiver) = oneshot::channel();
        (Responder { sender }, receiver)
    }

    /// Gives the answer. Who asked may have gone: then nothing happens.
    pub fn send(self, answer: R) {
        let _ = self.sender.send(answer);
    }
}

impl<A: 'static> ActorRef<A> {
    /// Runs the closure on the actor and does not wait. Returns false when the actor is gone.
    pub fn tell(&self, job: impl FnOnce(&mut A, &mut Cx<'_, A>) + Send + 'static) -> bool {
        self.channel.send(Box::new(job))
    }

    /// Runs the closure on the actor and waits for its result.
    ///
    /// # Errors
    ///
    /// `Stopping` when the actor is gone; the closure then did not run, or ran on an actor that
    /// was about to go.
    pub fn ask<R: Send + 'static>(
        &self,
        job: impl FnOnce(&mut A, &mut Cx<'_, A>) -> R + Send + 'static,
    ) -> Result<R, Failure> {
        self.ask_deferred(move |actor, cx, answerer| answerer.send(job(actor, cx)))
    }

    /// Like [`Remote::ask`], for an answer that the actor may give later.
    ///
    /// # Errors
    ///
    /// `Stopping` when the actor is gone or dropped the [`Answerer`].
    pub fn ask_deferred<R: Send + 'static>(
        &self,
        job: impl FnOnce(&mut A, &mut Cx<'_, A>, Responder<R>) + Send + 'static,
    ) -> Result<R, Failure> {
        let (answerer, receiver) = Responder::channel();
        self.tell(move |actor, cx| job(actor, cx, answerer));
        receiver.blocking_recv().map_err(|_| gone())
    }

    /// Like [`Remote::ask_later`], for a task.
    ///
    /// # Errors
    ///
    /// As there.
    pub async fn ask_async<R: Send + 'static>(
        &self,
        job: impl FnOnce(&mut A, &mut Cx<'_, A>, Responder<R>) + Send + 'static,
    ) -> Result<R, Failure> {
        let (answerer, receiver) = Responder::channel();
        self.tell(move |actor, cx| job(actor, cx, answerer));
        receiver.await.map_err(|_| gone())
    }

    /// Like [`Remote::ask_later`], but waits no longer than this.
    ///
    /// # Errors
    ///
    /// `Stopping` as there; `Timeout` with `may-have-run` when the time passes first.
    pub fn ask_within<R: Send + 'static>(
        &self,
        time: Duration,
        job: impl FnOnce(&mut A, &mut Cx<'_, A>, Responder<R>) + Send + 'static,
    ) -> Result<R, Failure> {
        let (answerer, receiver) = Responder::channel();
        self.tell(move |actor, cx| job(actor, cx, answerer));
        let late = || Failure::may_have_run(Cause::Timeout, "it is not written down yet");
        let waited = runtime::block_on(async { timeout(time, receiver).await });
        let answered = waited.map_err(|error| Failure::not_run(Cause::Stopping, error.to_string()));
        answered?.map_err(|_| late())?.map_err(|_| gone())
    }
}

fn gone() -> Failure {
    Failure::not_run(Cause::Stopping, "the actor is gone")
}

/// A thread with one main loop and one actor.
pub struct ActorThread<A: 'static> {
    remote: ActorRef<A>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl<A: 'static> ActorThread<A> {
    /// Starts the thread and makes the actor on it.
    ///
    /// `init` gets the actor's own handle, to pass to tasks that it starts.
    ///
    /// # Errors
    ///
    /// The system has no room for a thread.
    pub fn start(
        name: &str,
        init: impl FnOnce(&mut Cx<'_, A>, ActorRef<A>) -> A + Send + 'static,
    ) -> io::Result<Self> {
        let stopped = Arc::new(AtomicBool::new(false));
        let flag = stopped.clone();
        let (sender, receiver) = mpsc::sync_channel(1);
        let thread = task::spawn(name, move || run(init, &sender, &flag))?;
        let remote = receiver.recv().map_err(io::Error::other)?;
        Ok(ActorThread {
            remote,
            stopped,
            thread: Some(thread),
        })
    }

    /// The handle to the actor.
    pub fn remote(&self) -> &ActorRef<A> {
        &self.remote
    }

    /// Ends the main loop, drops the actor and waits for the thread.
    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        let Some(thread) = self.thread.take() else {
            return;
        };
        thread.thread().unpark();
        // A panic on the thread was already printed by the panic hook.
        let _ = thread.join();
    }
}

impl<A: 'static> Drop for ActorThread<A> {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The body of a host's thread.
fn run<A: 'static>(
    init: impl FnOnce(&mut Cx<'_, A>, ActorRef<A>) -> A,
    sender: &SyncSender<ActorRef<A>>,
    stopped: &AtomicBool,
) {
    let mut stakker = Stakker::new(Instant::now());
    let this = thread::current();
    stakker.set_poll_waker(move || this.unpark());
    let actor: ActorOwn<A> = ActorOwn::new(&mut stakker, ret_nop!(), LogID::default());
    let target = actor.clone();
    let jobs = Fwd::new(move |job: Job<A>| {
        let actor = target.clone();
        target.defer(move |s| actor.apply(s, job));
    });
    let (channel, guard) = Channel::new(&mut stakker, jobs);
    let remote = ActorRef { channel };
    let own = remote.clone();
    actor.apply_prep(&mut stakker, move |cx| Some(init(cx, own)));
    let _ = sender.send(remote);
    while !stopped.load(Ordering::Acquire) {
        stakker.poll_wake();
        let idle = stakker.run(Instant::now(), false);
        let wait = stakker.next_wait_max(Instant::now(), MAX_IDLE, idle);
        if !wait.is_zero() {
            thread::park_timeout(wait);
        }
    }
    drop(guard);
}

#[cfg(test)]
mod tests {
    use {super::*, stakker::after};

    struct Counter(u64);

    impl Counter {
        fn later(&mut self, cx: &mut Cx<'_, Self>, answerer: Responder<u64>) {
            after!(Duration::from_millis(1), [cx], |this, _| answerer
                .send(this.0));
        }
    }

    #[test]
    fn ask_returns_state() {
        let mut host = ActorThread::start("counter", |_, _| Counter(1)).unwrap();
        assert!(host.remote().tell(|counter, _| counter.0 += 1));
        assert_eq!(host.remote().ask(|counter, _| counter.0), Ok(2));
        let remote = host.remote().clone();
        host.stop();
        assert!(!remote.tell(|counter, _| counter.0 += 1));
        assert_eq!(
            remote.ask(|counter, _| counter.0).unwrap_err().cause,
            Cause::Stopping
        );
    }

    #[test]
    fn ask_later_after_timer() {
        let host = ActorThread::start("counter", |_, _| Counter(7)).unwrap();
        let answer = host
            .remote()
            .ask_deferred(|counter, cx, answerer| counter.later(cx, answerer));
        assert_eq!(answer, Ok(7));
    }

    #[test]
    fn ask_within_time() {
        let host = ActorThread::start("counter", |_, _| Counter(7)).unwrap();
        let (keep, kept) = mpsc::channel();
        let late: Result<u64, _> =
            host.remote()
                .ask_within(Duration::ZERO, move |_, _, answerer| {
                    let _ = keep.send(answerer);
                });
        assert_eq!(late.unwrap_err().cause, Cause::Timeout);
        kept.recv().unwrap().send(1);
    }

    #[test]
    fn ask_dropped_answerer() {
        let host = ActorThread::start("counter", |_, _| Counter(7)).unwrap();
        let answer: Result<u64, _> = host.remote().ask_deferred(|_, _, answerer| drop(answerer));
        assert!(answer.is_err());
    }
}
