import unittest

import msgspec

from fireflyward.bundles import (
    BundleError,
    BundleState,
    ChunkedAccounts,
    Model,
    SignedBundle,
    SigningKey,
    canonical_bytes,
    draft,
    sign_bundle,
    statement_of,
    with_approver,
    with_author,
)
from tests.bundles.makers import (
    ANA,
    BRUNO,
    CARLA,
    ROOTS,
    TRUST,
    account,
    bundle,
    first_state,
    next_state,
    person,
    verify_demo_change,
    verify_demo_snapshot,
)


class VerifyTestCase(unittest.TestCase):
    def assert_refused(self, result, code):
        self.assertIsInstance(result, BundleError)
        self.assertEqual(result.code, code, result)

    def setUp(self):
        self.base = first_state()
        self.following = bundle(2, ("bridge-team", "tower-team", "tower-two"))

    def signed(self, author=ANA, approver=BRUNO, following=None):
        return sign_bundle(
            following or self.following,
            author=author,
            approver=approver,
            base=self.base,
        )


class ChangeTests(VerifyTestCase):
    def test_change_and_snapshot_give_the_same_bundle(self):
        state = verify_demo_change(self.signed(), self.base)
        self.assertEqual(state.bundle, self.following)
        self.assertEqual(
            verify_demo_snapshot(state.snapshot(), state.links).digest, state.digest
        )

    def test_change_contains_only_the_changed_parts(self):
        accounts = {f"team-{index}": account(f"team-{index}") for index in range(200)}
        base = first_state(account_by_name=accounts)
        accounts = {**accounts, "team-7": account("team-7", weight=9)}
        signed = sign_bundle(
            bundle(2, account_by_name=accounts), author=ANA, approver=BRUNO, base=base
        )
        self.assertEqual(len(signed.parts), 1)
        state = verify_demo_change(signed, base)
        self.assertEqual(state.bundle.accounts["team-7"].weight, 9)
        self.assertEqual(base.bundle.accounts["team-7"].weight, 1)

    def test_new_number_of_chunks_redistributes_all_accounts(self):
        accounts = {f"team-{index}": account(f"team-{index}") for index in range(400)}
        state = next_state(self.base, bundle(2, account_by_name=accounts))
        self.assertEqual(state.bundle.accounts, accounts)
        again = next_state(state, bundle(3))
        self.assertEqual(again.bundle, bundle(3))

    def test_removed_account_is_removed_with_its_key(self):
        state = next_state(self.base, bundle(2, ("bridge-team",)))
        self.assertNotIn("tower-team", state.bundle.accounts)
        key = account("tower-team").callers["portal"].key_sha256
        self.assertIsNone(state.bundle.accounts.find_key(key))


class RefusalTests(VerifyTestCase):
    def test_stolen_single_key_cannot_sign_for_two(self):
        """Guards against one stolen key that is enough to change everything.

        The thief signs with it as the author and, under a colleague's name, as the
        approver.
        """
        forged = with_author(draft(self.following, author="ana", base=self.base), ANA)
        as_bruno = SigningKey("bruno", ANA._private)
        self.assert_refused(
            verify_demo_change(with_approver(forged, as_bruno), self.base),
            "bad_signature",
        )

    def test_signed_twice_by_one_person(self):
        self.assert_refused(
            verify_demo_change(self.signed(ANA, ANA), self.base), "same_person"
        )

    def test_one_key_under_two_names(self):
        roots = {**ROOTS, "ana2": ROOTS["ana"]}
        twin = SigningKey("ana2", ANA._private)
        signed = sign_bundle(bundle(trust={}), author=ANA, approver=twin)
        self.assert_refused(verify_demo_snapshot(signed, roots=roots), "same_person")

    def test_replayed_old_bundle(self):
        state = verify_demo_change(self.signed(), self.base)
        self.assert_refused(verify_demo_change(self.signed(), state), "replayed")
        self.assert_refused(verify_demo_change(self.base.signed, state), "replayed")

    def test_bundle_made_for_another_predecessor(self):
        other = first_state(models={"clauses": Model("v0")})
        self.assert_refused(verify_demo_change(self.signed(), other), "other_base")
        skipping = sign_bundle(bundle(3), author=ANA, approver=BRUNO, base=self.base)
        self.assert_refused(verify_demo_change(skipping, self.base), "other_base")

    def test_bundle_of_another_deployment(self):
        foreign = msgspec.structs.replace(self.following, deployment="other")
        signed = self.signed(following=foreign)
        self.assert_refused(verify_demo_change(signed, self.base), "other_deployment")

    def test_unknown_person(self):
        dora = SigningKey.from_seed("dora", b"4" * 32)
        self.assert_refused(
            verify_demo_change(self.signed(ANA, dora), self.base), "unknown_person"
        )

    def test_revoked_key(self):
        new_ana = SigningKey.from_seed("ana", b"5" * 32)
        rotated = {**TRUST, "ana": person(new_ana, author=("*",), revoked=(ANA,))}
        state = next_state(self.base, bundle(2, trust=rotated))
        following = bundle(3, ("bridge-team",), trust=rotated)
        by_old = sign_bundle(following, author=ANA, approver=BRUNO, base=state)
        by_new = sign_bundle(following, author=new_ana, approver=BRUNO, base=state)
        self.assert_refused(verify_demo_change(by_old, state), "revoked_key")
        self.assertIsInstance(verify_demo_change(by_new, state), BundleState)

    def test_both_keys_are_valid_during_a_rotation(self):
        new_ana = SigningKey.from_seed("ana", b"5" * 32)
        both = {**TRUST, "ana": person(ANA, new_ana, author=("*",))}
        state = next_state(self.base, bundle(2, trust=both))
        following = bundle(3, ("bridge-team",), trust=both)
        for key in (ANA, new_ana):
            signed = sign_bundle(following, author=key, approver=BRUNO, base=state)
            self.assertIsInstance(verify_demo_change(signed, state), BundleState)

    def test_signer_outside_his_role(self):
        allowed = self.signed(CARLA, ANA)
        self.assertIsInstance(verify_demo_change(allowed, self.base), BundleState)
        bridges = bundle(2, ("tower-team",))
        for author, approver in ((CARLA, ANA), (ANA, CARLA)):
            signed = self.signed(author, approver, bridges)
            self.assert_refused(verify_demo_change(signed, self.base), "outside_role")

    def test_team_cannot_give_itself_a_model_or_a_role(self):
        for following in (
            bundle(2, models={"clauses": Model("v2", ("beams",))}),
            bundle(2, trust={**TRUST, "carla": person(CARLA, author=("*",))}),
        ):
            signed = self.signed(CARLA, BRUNO, following)
            self.assert_refused(verify_demo_change(signed, self.base), "outside_role")

    def test_trailing_duplicate_or_exchanged_signatures(self):
        signed = self.signed()
        author, approver = signed.signatures
        for signatures in (
            (author, approver, approver),
            (author, author),
            (approver, author),
            (author,),
            (),
        ):
            with self.subTest(count=len(signatures)):
                altered = SignedBundle(signed.document, signatures, signed.parts)
                self.assert_refused(
                    verify_demo_change(altered, self.base), "wrong_signatures"
                )

    def test_changed_statement_fails_its_signatures(self):
        signed = self.signed()
        statement = statement_of(signed)
        document = canonical_bytes(msgspec.structs.replace(statement, note="other"))
        altered = SignedBundle(document, signed.signatures, signed.parts)
        self.assert_refused(verify_demo_change(altered, self.base), "bad_signature")

    def test_bytes_that_are_not_canonical(self):
        """Guards against one bundle that has two digests.

        JSON with an additional space has the same meaning but another hash.
        """
        drafted = draft(self.following, author="ana", base=self.base)
        document = drafted.document.replace(b'":', b'": ', 1)
        spaced = SignedBundle(document, (), drafted.parts)
        signed = with_approver(with_author(spaced, ANA), BRUNO)
        self.assert_refused(verify_demo_change(signed, self.base), "not_canonical")

    def test_part_whose_bytes_are_not_canonical(self):
        following = self._with_part(b'{ "clauses":{"adapters":[],"version":"v9"}}')
        self.assert_refused(verify_demo_change(following, self.base), "not_canonical")

    def test_part_that_is_unreadable_or_unknown(self):
        self.assert_refused(
            verify_demo_change(self._with_part(b"{"), self.base), "unreadable"
        )
        wrong = self._with_part(b"{}", name="surprise")
        self.assert_refused(verify_demo_change(wrong, self.base), "unknown_part")

    def test_parts_other_than_the_signed_ones(self):
        signed = self.signed()
        parts = {**signed.parts, "models": canonical_bytes({"clauses": Model("v9")})}
        altered = SignedBundle(signed.document, signed.signatures, parts)
        self.assert_refused(verify_demo_change(altered, self.base), "other_parts")

    def test_account_in_another_chunk_than_its_own(self):
        table = canonical_bytes({"tower-x": account("tower-x")})
        following = self._with_part(table, name="accounts/0777")
        self.assert_refused(verify_demo_change(following, self.base), "misplaced")

    def test_key_of_another_account(self):
        """Guards against one account's answers that reach another account.

        A team adds to its account a key that an account in another chunk already has.
        """
        accounts = {f"tower-{index}": account(f"tower-{index}") for index in range(99)}
        base = first_state(account_by_name=accounts)
        thief = {**accounts, "tower-5": account("tower-77")}
        signed = sign_bundle(
            bundle(2, account_by_name=thief), author=CARLA, approver=ANA, base=base
        )
        self.assert_refused(verify_demo_change(signed, base), "duplicate_key")

    def test_trust_other_than_the_signed_one(self):
        statement = statement_of(self.signed())
        wrong = msgspec.structs.replace(
            statement, trust_before=msgspec.structs.replace(statement.trust, since=7)
        )
        drafted = SignedBundle(canonical_bytes(wrong), (), self.signed().parts)
        signed = with_approver(with_author(drafted, ANA), BRUNO)
        self.assert_refused(verify_demo_change(signed, self.base), "other_trust")

    def test_trust_cannot_be_removed(self):
        signed = self.signed(following=bundle(2, trust={}))
        self.assert_refused(verify_demo_change(signed, self.base), "other_trust")

    def _with_part(self, body, name="models"):
        """Sign a change with ``body`` as its only part, as two attackers could."""
        from fireflyward.bundles._parts import leaf_of, root_of

        drafted = draft(bundle(2), author="ana", base=self.base)
        leaf_by_name = {**self.base.leaf_by_name, name: leaf_of(body)}
        statement = msgspec.structs.replace(
            statement_of(drafted), root=root_of(leaf_by_name)
        )
        unsigned = SignedBundle(canonical_bytes(statement), (), {name: body})
        return with_approver(with_author(unsigned, ANA), BRUNO)


class SnapshotTests(VerifyTestCase):
    def setUp(self):
        super().setUp()
        self.new_ana = SigningKey.from_seed("ana", b"5" * 32)
        rotated = {
            **TRUST,
            "ana": person(self.new_ana, author=("*",), revoked=(ANA,)),
        }
        self.second = next_state(self.base, bundle(2, trust=rotated))
        self.third = next_state(
            self.second, bundle(3, ("bridge-team",), trust=rotated), self.new_ana
        )

    def test_new_node_verifies_trust_from_the_roots_on(self):
        state = verify_demo_snapshot(self.third.snapshot(), self.third.links)
        self.assertEqual(state.bundle, self.third.bundle)
        self.assertEqual(state.people, self.third.people)

    def test_snapshot_at_the_change_of_trust_itself(self):
        state = verify_demo_snapshot(self.second.snapshot(), self.second.links)
        self.assertEqual(state.links, self.second.links)

    def test_links_that_are_missing_or_out_of_place(self):
        first, second = self.third.links
        snapshot = self.third.snapshot()
        self.assert_refused(verify_demo_snapshot(snapshot, (first,)), "other_trust")
        self.assert_refused(verify_demo_snapshot(snapshot, ()), "other_trust")
        self.assertIsInstance(
            verify_demo_snapshot(snapshot, (second, first)), BundleError
        )

    def test_link_with_another_trust_inside(self):
        first, second = self.third.links
        body = canonical_bytes({"ana": person(ANA, author=("*",))})
        forged = SignedBundle(second.document, second.signatures, {"trust": body})
        refused = verify_demo_snapshot(self.third.snapshot(), (first, forged))
        self.assert_refused(refused, "other_trust")

    def test_snapshot_signed_by_a_revoked_key(self):
        drafted = draft(self.third.bundle, author="ana", base=self.second)
        forged = with_approver(with_author(drafted, ANA), BRUNO)
        snapshot = SignedBundle(
            forged.document, forged.signatures, self.third.part_by_name
        )
        self.assert_refused(
            verify_demo_snapshot(snapshot, self.second.links), "revoked_key"
        )

    def test_accounts_of_the_state_are_chunked(self):
        self.assertIsInstance(self.third.bundle.accounts, ChunkedAccounts)
